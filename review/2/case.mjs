/**
 * Case 2: replicas hand out wrong bytes. In single answers of a faulty replica one byte is spoiled, the first digit of the status.
 * What becomes of the gateway's other clients, whose requests run at a sound replica?
 */
import http from 'node:http';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { send } from '../lib/client.mjs';
import { runCase } from '../lib/scene.mjs';

const GATEWAYS = 3;
/** Clients of each gateway that keep a connection and look up one shift after the other. */
const KEPT_CLIENTS = 16;
/** One replica of two is faulty: a share of 0.5. */
const FAULTY = 'shift-1';
/** Of its answers, at most one in this many is spoiled. */
const SPOILED_ONE_IN = 50;
const MIN_GAP_MS = 2_000;
/** Replicas hand out wrong bytes for this time, and again after a pause. */
const GARBLE_MS = 5_000;
const PAUSE_MS = 5_000;
const WORK_MS = 120;
const PLAY_MS = 50_000;

await runCase(path.join('review', '2', 'record.txt'), async (scene) => {
  const { record } = scene;
  let garble = () => ({ isOn: false });
  let turn = -1;
  /** In this turn of the disruption. */
  let answers = 0;
  let spoiled = 0;
  let allSpoiled = 0;
  let lastSpoiledAt = 0;
  /** Requests that the sound replica has received. */
  const atSound = new Set();

  function intercept(replica, request) {
    const attempt = request.headers['x-attempt-id'];
    if (replica.options.name !== FAULTY) {
      atSound.add(attempt);
      return false;
    }
    const now = garble();
    if (!now.isOn) return false;
    if (now.turn !== turn) [turn, answers, spoiled] = [now.turn, 0, 0];
    answers += 1;
    const isDue = Date.now() - lastSpoiledAt >= MIN_GAP_MS;
    if (!isDue || (spoiled + 1) * SPOILED_ONE_IN > answers) return false;
    spoiled += 1;
    allSpoiled += 1;
    lastSpoiledAt = Date.now();
    record.add(replica.id, 'sends status 000 in place of 200', { attempt, spoiled, answers });
    const body = `answer to ${attempt} by ${replica.id}`;
    const lines = [
      'HTTP/1.1 000 OK',
      `X-Attempt-Id: ${attempt}`,
      `X-Server-Seal: ${replica.seal(attempt)['x-server-seal']}`,
      `Content-Length: ${body.length}`,
      '',
      body,
    ];
    request.resume();
    request.socket.write(lines.join('\r\n'));
    return true;
  }

  const isReady = await scene.start({
    gateways: GATEWAYS,
    replicas: [FAULTY, 'shift-2'].map((name) => {
      return { name, service: 'shift-api', slots: 64, workMs: WORK_MS, intercept };
    }),
  });
  if (!isReady) return undefined;
  await sleep(2_000);

  garble = scene.inTurns('garble', GARBLE_MS, PAUSE_MS);
  const until = Date.now() + PLAY_MS;
  const lostBy = new Map(scene.gateways.map(({ name }) => [name, 0]));

  /** One client with a kept connection; it waits for the gateway after a failure. */
  async function lookUp(gateway, index) {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    while (Date.now() < until) {
      const request = { method: 'GET', path: `/lookups/${index}`, deadlineMs: 1_000, agent };
      const seen = await send(gateway.address, request, record);
      const isUnanswered = !seen.isComplete && seen.status === undefined;
      if (seen.isKept && isUnanswered && atSound.has(seen.attempt)) {
        lostBy.set(gateway.name, lostBy.get(gateway.name) + 1);
        record.add('client', 'lost its answer on a kept connection', {
          attempt: seen.attempt,
          gateway: gateway.name,
        });
      }
      await sleep(seen.isComplete ? 5 : 200);
    }
    agent.destroy();
  }

  const clients = scene.gateways.flatMap((gateway) =>
    Array.from({ length: KEPT_CLIENTS }, (_, index) => lookUp(gateway, index)),
  );
  await Promise.all(clients);
  record.add('replica', 'spoiled', { name: FAULTY, answers: allSpoiled });
  const breaches = [];
  for (const gateway of scene.gateways) {
    const lost = lostBy.get(gateway.name);
    const ends = gateway.exits.length;
    record.add('case', 'counts', { gateway: gateway.name, lost, ends });
    if (lost > 3) {
      breaches.push(`LOST: ${gateway.name} closed ${lost} kept connections, ${ends} own ends`);
    }
  }
  // The rule on processes that end by themselves: three times on a tenth of the machines, two at least.
  const often = scene.gateways.filter(({ exits }) => exits.length >= 3);
  if (often.length >= 2)
    breaches.push(`Fault: ${often.length} machines with three own ends or more`);
  return breaches;
});
