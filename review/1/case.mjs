/**
 * Case 1: replicas hand out wrong bytes, a second answer that arrives late. A replica refuses a request that may not be repeated
 * because it is full. The copy of that refusal arrives at the place where the next answer should come, which is
 * the answer to the same request, sent again on the same connection.
 */
import path from 'node:path';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { newAttemptId, send } from '../lib/client.mjs';
import { refuse } from '../lib/replica.mjs';
import { configuration, runCase } from '../lib/scene.mjs';

const GATEWAYS = 3;
const SLOTS = 6;
const QUEUE = 2;
const WORK_MS = 150;
/** Of the answers of the faulty replica, at most this share is followed by a second answer. */
const SPOILED_SHARE = 0.03;
/** One replica of two is faulty: a share of 0.5. */
const FAULTY = 'shift-2';
/** A second answer that no further request on its connection has met comes after this time. */
const LATE_MS = 700;
/** Second answers are caused for this time, so that all have come after five seconds, and again after a pause. */
const GARBLE_MS = 4_200;
const PAUSE_MS = 1_500;
const BURSTS = 52;
const BURST_MS = 850;
const BURST_CLIENTS = 20;
const DEADLINE_MS = 1_500;
/** From the start of a gateway until the slack of the retry budget may be used. */
const BUDGET_WINDOW_MS = 10_500;

await runCase(path.join('review', '1', 'record.txt'), async (scene) => {
  const { record } = scene;
  const runs = new Map();
  const refusedAt = new Map();
  const watched = new Set();
  /** Attempts of clients that come back; the second answers follow refusals of these. */
  const returning = new Set();
  const work = new Map();
  const queues = new Map();
  let garble = () => ({ isOn: false });
  let turn = -1;
  /** Of the faulty replica, in this turn of the disruption. */
  let answers = 0;
  let copies = 0;
  let allCopies = 0;
  /** By connection: the bytes of a second answer that still has to come. */
  const late = new Map();

  /** A plain replica with slots and a short queue. */
  function intercept(replica, request, response) {
    const attempt = request.headers['x-attempt-id'];
    const { socket } = request;
    const copy = late.get(socket);
    if (copy !== undefined) {
      late.delete(socket);
      record.add(replica.id, 'second answer', { to: copy.attempt, before: attempt });
      socket.write(copy.bytes);
    }
    request.resume();
    request.on('end', () => accept(replica, request, response, attempt));
    return true;
  }

  function accept(replica, request, response, attempt) {
    const { name } = replica.options;
    const queue = queues.get(name) ?? [];
    queues.set(name, queue);
    const running = work.get(name) ?? 0;
    if (name === FAULTY) countAnswer();
    if (running >= SLOTS && queue.length >= QUEUE) {
      refuse(response, 503, attempt);
      if (watched.has(attempt)) record.add(replica.id, 'refuses', { attempt, status: 503 });
      spoil(name, request.socket, attempt);
      return;
    }
    if (running >= SLOTS) {
      queue.push({ replica, response, attempt });
      return;
    }
    run(replica, response, attempt);
  }

  function countAnswer() {
    const now = garble();
    if (now.isOn && now.turn !== turn) [turn, answers, copies] = [now.turn, 0, 0];
    answers += 1;
  }

  function run(replica, response, attempt) {
    const { name } = replica.options;
    work.set(name, (work.get(name) ?? 0) + 1);
    runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
    if (watched.has(attempt)) record.add(replica.id, 'runs', { attempt, time: runs.get(attempt) });
    const end = () => {
      clearTimeout(timer);
      work.set(name, work.get(name) - 1);
      const waiting = queues.get(name) ?? [];
      // A replica drops what waits when its connection closes.
      while (waiting[0]?.response.destroyed === true) waiting.shift();
      const next = waiting.shift();
      if (next !== undefined) run(next.replica, next.response, next.attempt);
    };
    const timer = setTimeout(() => {
      response.off('close', end);
      end();
      replica.answer(response, attempt);
    }, WORK_MS);
    response.once('close', end);
  }

  /** Lets a second answer follow a refusal of a watched request, within the share. */
  function spoil(name, socket, attempt) {
    if (name !== FAULTY || !returning.has(attempt) || !garble().isOn) return;
    if (copies + 1 > answers * SPOILED_SHARE) return;
    copies += 1;
    allCopies += 1;
    record.add(FAULTY, 'a second answer will follow', { to: attempt, copies, answers });
    const lines = [
      'HTTP/1.1 503 Service Unavailable',
      `X-Attempt-Id: ${attempt}`,
      'X-Not-Executed: 1',
      'Content-Type: application/json',
      'Content-Length: 2',
      '',
      '{}',
    ];
    const copy = { attempt, bytes: lines.join('\r\n') };
    late.set(socket, copy);
    setTimeout(() => {
      if (late.get(socket) !== copy) return;
      late.delete(socket);
      record.add(FAULTY, 'second answer', { to: attempt, before: 'nothing' });
      socket.write(copy.bytes);
    }, LATE_MS);
  }

  const config = configuration(1);
  config.routes = config.routes.map((route) =>
    route.name === 'shift-confirm' ? { ...route, goalMs: 193 } : route,
  );
  const isReady = await scene.start({
    gateways: GATEWAYS,
    config,
    replicas: [
      { name: 'shift-1', service: 'shift-api', slots: SLOTS, intercept },
      { name: 'shift-2', service: 'shift-api', slots: SLOTS, intercept },
    ],
  });
  if (!isReady) return undefined;
  await sleep(BUDGET_WINDOW_MS);

  const quiet = { add: () => {} };

  /** Load through the other gateways, from clients that ask again until the burst ends. */
  async function load(others, index, until) {
    while (Date.now() < until) {
      const gateway = others[index % others.length];
      const request = { path: '/confirmations/', body: 'load', deadlineMs: DEADLINE_MS };
      const seen = await send(gateway.address, request, quiet);
      if (seen.status !== 200) await sleep(60);
    }
  }

  /** One client: retries once, after a promise that the request has not run. */
  async function confirm(first) {
    const until = Date.now() + DEADLINE_MS;
    for (let attempts = 0; attempts < 2; attempts++) {
      const deadlineMs = until - Date.now();
      const attempt = newAttemptId();
      watched.add(attempt);
      if (attempts > 0) returning.add(attempt);
      const request = { path: '/confirmations/', body: 'confirm', deadlineMs, attempt };
      const seen = await send(first.address, request, record);
      if (seen.status === 503) refusedAt.set(attempt, Date.now());
      if (seen.status !== 503) return;
      const askedMs = Number(seen.headers['retry-after'] ?? 0) * 1_000;
      await sleep(Math.min(askedMs, (until - Date.now()) / 3));
    }
  }

  garble = scene.inTurns('garble', GARBLE_MS, PAUSE_MS);
  for (let burst = 0; burst < BURSTS; burst++) {
    const until = Date.now() + BURST_MS;
    const first = scene.gateways[burst % GATEWAYS];
    const others = scene.gateways.filter((gateway) => gateway !== first);
    const clients = Array.from({ length: BURST_CLIENTS }, (_, index) => load(others, index, until));
    await sleep(100);
    await Promise.all([...clients, confirm(first)]);
    await sleep(300);
  }
  await sleep(1_000);
  record.add('replica', 'second answers', { name: FAULTY, answers: allCopies });
  const breaches = [];
  for (const [attempt, count] of runs) {
    if (count > 1) breaches.push(`TWICE: ${attempt} ran ${count} times`);
    if (refusedAt.has(attempt)) breaches.push(`REFUSED: ${attempt} was answered 503 and ran`);
  }
  return breaches;
});
