/**
 * Property test: a request that may not be repeated runs at most once, and not at all if its caller is told that it has not run.
 * Backends refuse, break off and answer twice; connections are lost, the process pauses, the gateway is cut off from the
 * backends so that others relay, and it stops, each at drawn moments.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { DEFAULT_POLICIES } from '../../src/core/policies.js';
import { steadyNow } from '../../src/gateway/steady-clock.js';
import { FickleBackend, type Behaviour, type DrawnAnswer } from './fickle-backend.js';
import { GatewayHarness, pause, testConfiguration, testRoute } from './gateway-harness.js';
import { blockNow } from './separate-backend.js';

const SEED = 75_001;
/** Number of drawn histories. */
const HISTORIES = 20;
const MIN_REQUESTS = 3;
const MAX_REQUESTS = 24;
/** Requests and disturbances begin within this time, in milliseconds. */
const SPAN_MS = 600;
/** Everything has settled by then: deadlines, late answers and second answers. */
const SETTLED_MS = 1_600;
const DEADLINE_MS = 900;
/** Seconds for a stop: its end interrupts requests that are in flight. */
const STOP_SECONDS = 1;
/** The daemons share the slots of the backends, so that a slot is granted by another daemon, or later. */
const POLICIES = { ...DEFAULT_POLICIES, sharedSlots: true };
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const ROUTES = [
  testRoute({ repeatability: 'once', maxAttempts: 1, pathPrefix: '/work/', timeoutMs: 2_000 }),
];

type Disturbance = 'stop' | 'pause' | 'cut_off' | 'lost_connections' | 'restart' | 'leaving';

interface History {
  readonly sentAt: readonly number[];
  readonly answers: readonly (readonly DrawnAnswer[])[];
  readonly disturbances: readonly { readonly type: Disturbance; readonly atMs: number }[];
}

const moment = fc.integer({ min: 0, max: SPAN_MS });
const behaviour = fc.oneof(
  { weight: 6, arbitrary: fc.constant<Behaviour>('answers') },
  { weight: 6, arbitrary: fc.constantFrom<Behaviour>('refuses', 'refuses_twice') },
  { weight: 2, arbitrary: fc.constantFrom<Behaviour>('misdirected', 'runs_and_breaks', 'breaks') },
);
const drawnAnswer = fc.record({ behaviour, afterMs: fc.integer({ min: 0, max: 250 }) });
const disturbance = fc.record({
  type: fc.constantFrom<Disturbance>(
    'stop',
    'pause',
    'cut_off',
    'lost_connections',
    'restart',
    'leaving',
  ),
  atMs: moment,
});
const history: fc.Arbitrary<History> = fc.record({
  sentAt: fc.array(moment, { minLength: MIN_REQUESTS, maxLength: MAX_REQUESTS }),
  answers: fc.array(fc.array(drawnAnswer, { minLength: 12, maxLength: 12 }), {
    minLength: 1,
    maxLength: 2,
  }),
  disturbances: fc.array(disturbance, { minLength: 1, maxLength: 4 }),
});

/** Two gateways of one group, of which callers use the first, and one or two backends with few slots. */
class Scene {
  private constructor(
    readonly first: GatewayHarness,
    readonly second: GatewayHarness,
    readonly backends: readonly FickleBackend[],
  ) {}

  static async start(answers: History['answers']): Promise<Scene> {
    const { bounds } = (await GatewayHarness.prepare()).settings;
    const stopping = { ...bounds, stopSeconds: STOP_SECONDS };
    const first = await GatewayHarness.start({
      name: 'first',
      bounds: stopping,
      policies: POLICIES,
    });
    const second = await GatewayHarness.start({ name: 'second', policies: POLICIES });
    const backends = answers.map((drawn, index) => new FickleBackend(`b${index}`, drawn));
    for (const backend of backends) await backend.start();
    first.joinGroupOf(second);
    for (let wait = 0; wait < 100 && first.liveMembers() < 2; wait++) await pause(20);
    const scene = new Scene(first, second, backends);
    for (const gateway of [first, second]) {
      gateway.configure(testConfiguration({ routes: ROUTES }));
      gateway.list(scene.records());
    }
    return scene;
  }

  disturb(type: Disturbance): void {
    const [backend] = this.backends;
    if (type === 'stop') void this.first.gateway.drain();
    else if (type === 'pause') blockNow(150);
    else if (type === 'cut_off') this.cutOff();
    else if (type === 'lost_connections') backend?.server.closeAllConnections();
    else if (type === 'restart') this.restart();
    else this.first.list(this.records(true));
  }

  runsOf(id: string): number {
    return this.backends.reduce((sum, { runs }) => sum + (runs.get(id) ?? 0), 0);
  }

  stop(): void {
    this.first.stop();
    this.second.stop();
    for (const backend of this.backends) backend.stop();
  }

  /** The first backend ends and another process takes its address. */
  private restart(): void {
    const [backend] = this.backends;
    backend?.server.closeAllConnections();
    for (const gateway of [this.first, this.second]) gateway.list(this.records(false, 'again'));
  }

  private cutOff(): void {
    const { reachability } = this.first.context().backendWatch;
    reachability.probesDue = () => [];
    for (const { address } of this.backends) {
      reachability.recordConnectionFailure(address, steadyNow());
    }
  }

  private records(leaving = false, start = 'first'): ReturnType<FickleBackend['record']>[] {
    return this.backends.map((backend, index) =>
      backend.record({ slots: 3, ...(index === 0 ? { leaving, start } : {}) }),
    );
  }
}

/** Sends a request at its moment. Resolves with the status, or 0 if the connection was closed without an answer. */
async function send(scene: Scene, id: string, atMs: number): Promise<number> {
  await pause(atMs);
  const headers = { deadline: String(DEADLINE_MS) };
  return scene.first.call({ id, headers, body: 'x' }).then(
    ({ status }) => status,
    () => 0,
  );
}

/** Plays a history and returns the requests that break the property. */
async function play({ sentAt, answers, disturbances }: History): Promise<string[]> {
  const scene = await Scene.start(answers);
  try {
    for (const { type, atMs } of disturbances) setTimeout(() => scene.disturb(type), atMs);
    const settled = pause(SPAN_MS + SETTLED_MS);
    const statuses = await Promise.all(sentAt.map((atMs, index) => send(scene, `r${index}`, atMs)));
    await settled;
    return statuses.flatMap((status, index) => {
      const runs = scene.runsOf(`r${index}`);
      const isBroken = runs > 1 || (runs > 0 && PROMISES.has(status));
      return isBroken ? [`r${index}: ${runs} runs, status ${status}`] : [];
    });
  } finally {
    scene.stop();
  }
}

describe('a request that may not be repeated', () => {
  it('does not run after its caller was told that it has not run, nor twice', async () => {
    const holds = fc.asyncProperty(history, async (drawn) => {
      expect(await play(drawn)).toEqual([]);
    });
    await fc.assert(holds, { seed: SEED, numRuns: HISTORIES, endOnFailure: true });
  }, 150_000);
});
