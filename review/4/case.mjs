/** Machines are lost for good and replaced, one after the other. Afterwards no daemon owns the service, and no cold model is loaded. */
import { now, sleep } from '../lib-2/clock.mjs';
import { send } from '../lib-2/client.mjs';
import { BROKEN, HELD, NOT_RUN, runCase } from '../lib-2/scene.mjs';

const MACHINES = 3;
const REPLACED = 4;
/** Time from the loss of a machine until its successor starts, as `replace_core` has it by default. */
const REPLACED_AFTER_MS = 1_000;
/** Bound of the pages (`recoveryS`). */
const RECOVERY_MS = 12_000;
const DEADLINE_MS = 15_000;
const LOAD_MS = 2_500;
const MODELS = Array.from({ length: 24 }, (_, index) => `model-${index + 1}`);
/** Each model is asked for this often, with this pause: four times or more, over eight seconds. */
const ASKED = 5;
const PAUSE_MS = 2_100;

function configuration() {
  const models = MODELS.map((name) => {
    const times = { loadS: LOAD_MS / 1_000, diskS: LOAD_MS / 1_000, warmS: LOAD_MS / 1_000 };
    return { name, weightsMb: 50_000, adapters: 0, adapterMb: 0, ...times };
  });
  const sizes = { slots: 64, kvCapacityTokens: 100_000, weightsMb: 200_000, adapterSlots: 8 };
  const draft = {
    name: 'draft',
    host: 'app.example',
    pathPrefix: '/draft/',
    kind: 'streaming',
    timeoutMs: DEADLINE_MS,
    goalMs: 600,
    gapGoalMs: 300,
    priority: 1,
    service: 'roster',
    maxAttempts: 2,
    resumable: true,
    sticky: true,
  };
  return {
    version: 1,
    routes: [draft],
    services: [{ name: 'roster', maxConns: 360, engine: { ...sizes, loadsPerS: 2.2, models } }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Asks for a model as a client that waits as it is told and tries once more. Returns whether it was served. */
async function ask(scene, machines, model) {
  const until = now() + DEADLINE_MS;
  const headers = { 'X-Model': model, 'X-Token-Counts': '100,20', 'X-Prompt-Prefix': '5c1e:80' };
  for (let attempt = 0; attempt < 2; attempt++) {
    const machine = machines[Math.floor(Math.random() * machines.length)];
    const deadlineMs = Math.round(until - now());
    const answer = await send(machine, {
      path: '/draft/1',
      headers,
      deadlineMs,
      record: scene.record,
    });
    if (answer.isServed) return true;
    await sleep(Math.min(answer.retryAfterMs, (until - now()) / 3));
  }
  return false;
}

/** Asks for models, all at the same time and each several times. Returns how often each was served. */
async function askFor(scene, machines, models) {
  return Promise.all(
    models.map(async (model, index) => {
      await sleep((index * PAUSE_MS) / models.length);
      const asked = [];
      for (let turn = 0; turn < ASKED; turn++) {
        asked.push(ask(scene, machines, model));
        await sleep(PAUSE_MS);
      }
      const served = (await Promise.all(asked)).filter((isServed) => isServed).length;
      scene.record.add('model', { model, asked: ASKED, served });
      return served;
    }),
  );
}

async function replace(scene, machines) {
  const [lost] = machines.splice(0, 1);
  scene.record.add('lost_for_good', { machine: lost.name });
  await lost.end();
  await sleep(REPLACED_AFTER_MS);
  const successor = await scene.addGateway();
  if (!(await successor.untilReady())) throw new Error(`${successor.name} is not ready`);
  scene.record.add('replaced', { machine: lost.name, by: successor.name });
  machines.push(successor);
}

function sum(counts) {
  return counts.reduce((total, count) => total + count, 0);
}

await runCase('4', async (scene, hasTrouble) => {
  const { record, store } = scene;
  store.put('config', 'main', configuration());
  for (let index = 0; index < 3; index++) {
    const models = [MODELS[index]];
    const replica = { service: 'roster', zone: 'zone-a', models, room: 4, loadMs: LOAD_MS };
    await scene.addReplica(replica);
  }
  const machines = [];
  for (let index = 0; index < MACHINES; index++) machines.push(await scene.addGateway());
  for (const machine of machines) {
    if (!(await machine.untilReady())) return NOT_RUN;
  }
  await sleep(2_000);
  const servedBefore = await askFor(scene, machines, MODELS.slice(4, 8));
  if (sum(servedBefore) < (servedBefore.length * ASKED) / 2) return NOT_RUN;
  for (let count = 0; count < REPLACED; count++) {
    if (hasTrouble) await replace(scene, machines);
    // Long enough for the others to notice the loss and the successor.
    await sleep(3_000);
  }
  await sleep(RECOVERY_MS);
  const served = await askFor(scene, machines, MODELS.slice(8, 16));
  const never = served.filter((count) => count === 0).length;
  const share = sum(served) / (served.length * ASKED);
  record.add('after', { asked: served.length, never, share: share.toFixed(2) });
  // Starved: beyond 1 + 10 in 100 of the models. RECOVER: less than a quarter of the requests.
  const isStarved = never > 1 + served.length / 10;
  record.add('rules', { Starved: isStarved, RECOVER: share < 0.25 });
  return isStarved ? BROKEN : HELD;
});
