import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { findFreePorts } from '../../src/testbed/free-ports.js';
import { LOAD_POLICIES } from '../core/gateway-fixtures.js';
import {
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type BackendHandler,
} from './gateway-harness.js';

const SLOTS = 2;
const CALL_MS = 60;

describe('slots of backends, allocated for all daemons', () => {
  let harness: GatewayHarness;
  let backends: TestBackend[];
  let running: Map<string, number>;
  let maxRunning: number;
  const urgencies = new Set<string>();

  beforeEach(async () => {
    running = new Map();
    maxRunning = 0;
    urgencies.clear();
    backends = [new TestBackend('one', slow('one')), new TestBackend('two', slow('two'))];
    for (const backend of backends) await backend.start();
    harness = await GatewayHarness.start({ policies: LOAD_POLICIES });
    const urgent = testRoute({ name: 'urgent', pathPrefix: '/urgent/', priority: 0 });
    const patient = testRoute({ name: 'patient', priority: 2, goalMs: 250 });
    const hasty = testRoute({
      name: 'hasty',
      pathPrefix: '/hasty/',
      priority: 2,
      timeoutMs: 400,
      goalMs: 2_000,
    });
    harness.configure(testConfiguration({ routes: [urgent, hasty, patient] }));
  });

  afterEach(() => {
    harness.stop();
    for (const backend of backends) backend.stop();
  });

  /** Responds after a delay, and records the number of concurrent requests. */
  function slow(id: string): BackendHandler {
    return (request, response) => {
      const count = (running.get(id) ?? 0) + 1;
      running.set(id, count);
      maxRunning = Math.max(maxRunning, count);
      urgencies.add(String(request.headers.urgency));
      setTimeout(() => {
        running.set(id, (running.get(id) ?? 0) - 1);
        answerWhole(request, response);
      }, CALL_MS);
    };
  }

  function list(count: number): void {
    harness.list(backends.slice(0, count).map((backend) => backend.record({ slots: SLOTS })));
  }

  async function callMany(count: number): Promise<number[]> {
    const calls = Array.from({ length: count }, (_, index) => harness.call({ id: `c${index}` }));
    return (await Promise.all(calls)).map(({ status }) => status);
  }

  it('are never exceeded, and all requests that can be served in time are served', async () => {
    list(2);
    const statuses = await callMany(24);
    expect(statuses.every((status) => status === 200)).toBe(true);
    expect(maxRunning).toBe(SLOTS);
    expect(harness.lines.some(({ event }) => event === 'slot_queued')).toBe(true);
  });

  it('report held and waiting requests to the owner, and none after all have ended', async () => {
    list(1);
    let answered = 0;
    const calls = Array.from({ length: 10 }, (_, index) =>
      harness.call({ id: `c${index}` }).then(() => (answered += 1)),
    );
    const { tracker } = harness.gateway['context'];
    // Each request counts from its arrival until its response, even if the ten arrive slowly.
    const countInFlight = (): number => tracker.inFlightAt('one');
    let maxCounted = 0;
    while (answered === 0 || countInFlight() + answered < 10) {
      maxCounted = Math.max(maxCounted, countInFlight());
      await pause(2);
    }
    expect(countInFlight() + answered).toBe(10);
    expect(Math.max(maxCounted, countInFlight())).toBeGreaterThan(2 * SLOTS);
    await Promise.all(calls);
    expect(tracker.inFlightAt('one')).toBe(0);
  });

  it('are granted to the most urgent request first, and backends see the same urgency for all requests', async () => {
    list(1);
    const order: string[] = [];
    const call = (id: string, path: string): Promise<unknown> =>
      harness.call({ id, path }).then(() => order.push(id));
    const patient = Array.from({ length: 10 }, (_, index) => call(`p${index}`, '/work/x'));
    await pause(CALL_MS / 2);
    const urgent = call('urgent', '/urgent/x');
    await Promise.all([...patient, urgent]);
    expect(order.indexOf('urgent')).toBeLessThanOrEqual(2 * SLOTS);
    expect(urgencies.size).toBe(1);
  });

  it('are refused at once, with a retry delay, to requests that cannot be served in time', async () => {
    list(1);
    await callMany(12);
    const begun = performance.now();
    const waiting = callMany(26);
    await pause(30);
    const late = await harness.call({ id: 'late', path: '/hasty/x' });
    expect(late.status).toBe(503);
    expect(Number(late.headers['retry-after'])).toBeGreaterThan(0.3);
    expect(Number(late.headers['retry-after'])).toBeLessThan(3);
    expect(performance.now() - begun).toBeLessThan(250);
    await pause(50);
    const kept = harness.gateway['slots']?.['allocators']['entries'].get('one');
    expect(kept?.queue['returns']).toHaveLength(1);
    await waiting;
    expect(maxRunning).toBe(SLOTS);
  });

  it('are released when the caller of a running or waiting request disconnects', async () => {
    list(1);
    const held = Array.from({ length: 6 }, (_, index) => {
      const request = harness.request({ id: `h${index}` }, () => {});
      request.on('error', () => {});
      return request;
    });
    await pause(20);
    for (const request of held) request.destroy();
    await pause(50);
    const begun = performance.now();
    expect(await callMany(2)).toEqual([200, 200]);
    expect(performance.now() - begun).toBeLessThan(3 * CALL_MS);
  });

  it('of a backend that restarts with the same id serve the waiting requests', async () => {
    const record = backends[0]!.record({ slots: SLOTS, start: 'one' });
    harness.list([record]);
    const calls = callMany(8);
    await pause(CALL_MS / 2);
    const begun = performance.now();
    harness.list([{ ...record, revision: 2, start: 'two' }]);
    expect((await calls).every((status) => status === 200)).toBe(true);
    expect(performance.now() - begun).toBeLessThan(2_500);
  });

  it('of a backend that shuts down pass their waiting requests to another backend at once', async () => {
    list(1);
    const calls = callMany(8);
    await pause(CALL_MS / 2);
    const [one, two] = backends.map((backend) => backend.record({ slots: SLOTS, revision: 2 }));
    harness.list([{ ...one!, leaving: true }, two!]);
    expect((await calls).every((status) => status === 200)).toBe(true);
    expect(backends[1]?.arrivals).toHaveLength(8 - SLOTS);
  });
});

describe('slots of a backend that receives requests from two daemons', () => {
  const daemons: GatewayHarness[] = [];
  let running = 0;
  let maxRunning = 0;
  const backend = new TestBackend('one', (request, response) => {
    running += 1;
    maxRunning = Math.max(maxRunning, running);
    setTimeout(() => {
      running -= 1;
      answerWhole(request, response);
    }, CALL_MS);
  });

  beforeEach(async () => {
    await backend.start();
    const [peerPort = 0] = await findFreePorts(1);
    for (const [address, seed] of [
      ['127.0.0.1', '127.0.0.2'],
      ['127.0.0.2', '127.0.0.1'],
    ] as const) {
      const policies = LOAD_POLICIES;
      const daemon = await GatewayHarness.start({ address, peerPort, seeds: [seed], policies });
      daemon.configure(testConfiguration({ routes: [testRoute({ goalMs: 2_000 })] }));
      daemon.list([backend.record({ slots: SLOTS })]);
      daemons.push(daemon);
    }
    const seesBoth = (daemon: GatewayHarness): boolean =>
      daemon.gateway['peers'].live().length === 2;
    for (let attempt = 0; attempt < 60 && !daemons.every(seesBoth); attempt++) await pause(100);
    // The slot allocator follows the membership at its next tick.
    await pause(150);
  });

  afterEach(() => {
    for (const daemon of daemons.splice(0)) daemon.stop();
    backend.stop();
  });

  it('are not exceeded by the two daemons together, and all requests are served', async () => {
    const calls = daemons.flatMap((daemon, index) =>
      Array.from({ length: 10 }, (_, call) => daemon.call({ id: `d${index}c${call}` })),
    );
    const statuses = (await Promise.all(calls)).map(({ status }) => status);
    expect(statuses).toEqual(statuses.map(() => 200));
    expect(maxRunning).toBe(SLOTS);
    for (const daemon of daemons) {
      expect(daemon.lines.some(({ event }) => event === 'slot_queued')).toBe(true);
      expect(daemon.lines.some(({ event }) => event === 'slot_keeper_silent')).toBe(false);
    }
    const allocators = daemons.filter((daemon) =>
      daemon.lines.some(({ event }) => event === 'slots_kept'),
    );
    expect(allocators).toHaveLength(1);
  });

  it('of a backend that fails at once are avoided by a daemon that has not seen a failure itself', async () => {
    const failing: BackendHandler = (_, response) => response.writeHead(500).end();
    const hasty = new TestBackend('hasty', answerWhole);
    await hasty.start();
    const far = backend.record({ slots: SLOTS, zone: 'far' });
    for (const daemon of daemons) {
      daemon.configure(
        testConfiguration({ version: 2, routes: [testRoute({ repeatability: 'once' })] }),
      );
      daemon.list([far, hasty.record({ slots: 20 })]);
    }
    const call = async (daemon: number, id: string): Promise<number> =>
      (await daemons[daemon]!.call({ id })).status;
    expect(await call(1, 'before')).toBe(200);
    expect(hasty.arrivals).toEqual(['before']);
    hasty.handle = failing;
    for (let index = 0; index < 8; index++) await call(0, `a${index}`);
    expect(hasty.arrivals.length).toBeGreaterThan(1);
    await pause(30);
    const arrivals = hasty.arrivals.length;
    for (let index = 0; index < 4; index++) expect(await call(1, `b${index}`)).toBe(200);
    expect(hasty.arrivals).toHaveLength(arrivals);
    hasty.stop();
  });
});
