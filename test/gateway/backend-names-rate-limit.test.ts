/*
 * A backend named a limit of 1 request a second in its answers, and two gateways that had passed such answers on sent it 8 and 6
 * requests in 4 s, where 11 are allowed. Nothing read the limit.
 */
import { afterEach, describe, expect, it } from 'vitest';
import {
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  type BackendHandler,
} from './gateway-harness.js';

const WINDOW_MS = 4_000;
/** Requests keep coming for so long: more than one window. */
const CALLING_MS = 4_600;

/** Arrivals that a backend's limit allows in any window, as backends count. */
function allowedArrivals(perSecond: number): number {
  return Math.floor((1.5 * perSecond * WINDOW_MS) / 1_000 + 5);
}

/** Answers as usual, and names a limit. */
function naming(limit: () => string | undefined, arrivedAt: number[]): BackendHandler {
  return (request, response) => {
    arrivedAt.push(performance.now());
    const named = limit();
    if (named !== undefined) response.setHeader('rate-limit', named);
    answerWhole(request, response);
  };
}

/** The most times within one window. */
function mostInWindow(times: readonly number[]): number {
  const counts = times.map((end) => times.filter((at) => at <= end && end - at <= WINDOW_MS));
  return Math.max(0, ...counts.map(({ length }) => length));
}

describe('a backend that names a rate limit', () => {
  const daemons: GatewayHarness[] = [];
  const backends: TestBackend[] = [];

  afterEach(() => {
    for (const daemon of daemons.splice(0)) daemon.stop();
    for (const backend of backends.splice(0)) backend.stop();
  });

  async function startBackends(...ids: string[]): Promise<TestBackend[]> {
    for (const id of ids) backends.push(new TestBackend(id));
    for (const backend of backends) await backend.start();
    return backends;
  }

  async function startGroup(count: number): Promise<void> {
    const addresses = Array.from({ length: count }, (_, index) => `127.0.0.${index + 1}`);
    for (const address of addresses) {
      const first = daemons[0];
      const shared = first === undefined ? {} : { peerPort: first.settings.peerPort };
      const seeds = addresses.filter((other) => other !== address);
      daemons.push(await GatewayHarness.start({ name: address, address, seeds, ...shared }));
    }
    for (const daemon of daemons) {
      daemon.configure(testConfiguration());
      daemon.list(backends.map((backend) => backend.record()));
    }
    const seesAll = (daemon: GatewayHarness): boolean =>
      daemon.gateway['peers'].live().length === count;
    for (let look = 0; look < 60 && !daemons.every(seesAll); look++) await pause(100);
    expect(daemons.every(seesAll)).toBe(true);
  }

  /** Calls the daemons in turn. */
  async function callMany(perSecond: number, forMs = CALLING_MS): Promise<number[]> {
    const answers: Promise<number>[] = [];
    const begun = performance.now();
    for (let call = 0; performance.now() - begun < forMs; call++) {
      const daemon = daemons[call % daemons.length] as GatewayHarness;
      answers.push(daemon.call({ id: `c${call}` }).then(({ status }) => status));
      await pause(begun + ((call + 1) * 1_000) / perSecond - performance.now());
    }
    return Promise.all(answers);
  }

  it('gets no more than that from several gateways together', async () => {
    const [one] = (await startBackends('one', 'two')) as [TestBackend];
    const arrivedAt: number[] = [];
    one.handle = naming(() => '2.5', arrivedAt);
    await startGroup(6);
    const statuses = await callMany(20);
    expect(mostInWindow(arrivedAt)).toBeLessThanOrEqual(allowedArrivals(2.5));
    expect(statuses).toEqual(statuses.map(() => 200));
  }, 20_000);
});
