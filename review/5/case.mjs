/** A large configuration changes often: gateways run out of heap, and the requests in flight are cut. */
import { now, sleep } from '../lib-2/clock.mjs';
import { send } from '../lib-2/client.mjs';
import { BROKEN, HELD, NOT_RUN, runCase } from '../lib-2/scene.mjs';

const MACHINES = 3;
/** As four times `big_config`. The object has about 1.02 MB, of 1,048,576 bytes that the store takes (`value_bytes`). */
const ROUTES = 4 * 1_500;
/** The largest `timeoutMs` of the small sites. */
const TIMEOUT_MS = 25_000;
/** A `config_storm` of four seconds with a change each 0.33 s, six times. */
const STORMS = 6;
const STORM_MS = 4_000;
const GAP_MS = 330;
const CALM_MS = 10_000;
const DEADLINE_MS = 15_000;
const CALLERS = 9;

function configuration(version, routes) {
  const model = { name: 'model-1', weightsMb: 50_000, adapters: 0, adapterMb: 0, loadS: 2.5 };
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
    maxAttempts: 1,
    resumable: false,
    sticky: true,
  };
  return {
    version,
    routes: [draft, ...routes],
    services: [
      { name: 'roster', maxConns: 360, engine: { ...sizes, loadsPerS: 2.2, models: [model] } },
      { name: 'lookup', maxConns: 96 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

function furtherRoutes() {
  return Array.from({ length: ROUTES }, (_, index) => ({
    name: `r-${index}`,
    host: `tenant${index % 50}.example`,
    pathPrefix: `/unit${index}/`,
    kind: 'idempotent',
    timeoutMs: TIMEOUT_MS,
    goalMs: 2_500,
    priority: 3,
    service: 'lookup',
    maxAttempts: 2,
  }));
}

/** Sends one stream after the other, of four seconds each. */
async function call(scene, machine, until, tries) {
  const headers = { 'X-Model': 'model-1', 'X-Token-Counts': '100,200', 'X-Prompt-Prefix': '5c:80' };
  while (now() < until()) {
    const startedAt = now();
    const options = { path: '/draft/1', headers, deadlineMs: DEADLINE_MS, record: scene.record };
    const answer = await send(machine, options);
    tries.push({ ...answer, startedAt, endedAt: now() });
    await sleep(100);
  }
}

/** Changes one route's time-out with each version, as `config_change` does. */
async function storm(scene, routes, version) {
  const end = now() + STORM_MS;
  let next = version;
  while (now() < end) {
    next += 1;
    const changed = routes.map((route, index) =>
      index === next ? { ...route, timeoutMs: TIMEOUT_MS - next } : route,
    );
    scene.store.put('config', 'main', configuration(next, changed));
    scene.record.add('configuration', { version: next });
    await sleep(GAP_MS);
  }
  return next;
}

await runCase('5', async (scene, hasTrouble) => {
  const { record, store } = scene;
  const routes = furtherRoutes();
  const first = configuration(1, routes);
  record.add('configuration', { version: 1, bytes: JSON.stringify(first).length });
  store.put('config', 'main', first);
  for (let index = 0; index < 3; index++) {
    const models = ['model-1'];
    await scene.addReplica({ service: 'roster', zone: 'zone-a', models, room: 4, loadMs: 2_500 });
  }
  await scene.addReplica({ service: 'lookup', zone: 'zone-a', slots: 6 });
  const machines = [];
  for (let index = 0; index < MACHINES; index++) machines.push(await scene.addGateway());
  for (const machine of machines) {
    if (!(await machine.untilReady())) return NOT_RUN;
  }
  await sleep(2_000);
  const tries = [];
  let isOver = false;
  const until = () => (isOver ? 0 : Infinity);
  const callers = Array.from({ length: CALLERS }, (_, index) =>
    call(scene, machines[index % MACHINES], until, tries),
  );
  await sleep(CALM_MS);
  const changesFrom = now();
  let version = 1;
  for (let count = 0; count < STORMS; count++) {
    if (hasTrouble) version = await storm(scene, routes, version);
    else await sleep(STORM_MS);
  }
  const changesUntil = now() + 3_000;
  await sleep(CALM_MS);
  isOver = true;
  await Promise.all(callers);
  // Read and handed on (a stream had begun), and the connection closed within the answer.
  const cut = tries.filter(({ status, isWhole }) => status === 200 && !isWhole);
  const around = cut.filter((each) => each.endedAt >= changesFrom && each.startedAt < changesUntil);
  const ends = machines.flatMap(({ name, unexpectedExits }) =>
    unexpectedExits.map((exit) => ({ machine: name, ...exit })),
  );
  for (const end of ends) record.add('process_ended', end);
  const served = tries.filter(({ isServed }) => isServed).length;
  record.add('streams', { served, cut: cut.length, aroundChanges: around.length });
  if (served === 0) return NOT_RUN;
  const isLost = around.length > 3 * (cut.length - around.length);
  record.add('rules', { LOST: isLost, processesEnded: ends.length });
  return isLost ? BROKEN : HELD;
});
