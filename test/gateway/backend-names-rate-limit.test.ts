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
  testRoute,
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

  it('is left by a daemon that has had no answer of it, also one that joins later', async () => {
    const [one] = (await startBackends('one', 'two')) as [TestBackend];
    one.handle = naming(() => '0', []);
    await startGroup(2);
    const [first, second] = daemons as [GatewayHarness, GatewayHarness];
    first.list([one.record()]);
    await first.call({ id: 'names' });
    first.list(backends.map((backend) => backend.record()));
    await pause(100);
    const before = one.arrivals.length;
    for (let call = 0; call < 20; call++) await second.call({ id: `s${call}` });
    expect(one.arrivals.length).toBeLessThanOrEqual(before + 1);
    const { peerPort } = first.settings;
    const joined = { name: 'late', address: '127.0.0.9', seeds: ['127.0.0.1'], peerPort };
    const late = await GatewayHarness.start(joined);
    daemons.push(late);
    late.configure(testConfiguration());
    late.list(backends.map((backend) => backend.record()));
    const knows = (): boolean => late.context().permits.perSecond(one.record()) === 0;
    for (let look = 0; look < 30 && !knows(); look++) await pause(100);
    expect(knows()).toBe(true);
    const events = late.lines.filter(({ event }) => event === 'rate_limit_named');
    expect(events[0]?.fields).toMatchObject({ backend: 'one', perSecond: 0, source: 'peer' });
  }, 20_000);

  it('gets as many as before once it names none any more, at all daemons', async () => {
    const [one] = (await startBackends('one')) as [TestBackend];
    let limit: string | undefined = '0';
    one.handle = naming(() => limit, []);
    await startGroup(2);
    const [first, second] = daemons as [GatewayHarness, GatewayHarness];
    await first.call({ id: 'names' });
    limit = undefined;
    const hasEnded = (daemon: GatewayHarness): boolean =>
      daemon.lines.some(({ event }) => event === 'rate_limit_ended');
    const begun = performance.now();
    for (let call = 0; !daemons.every(hasEnded) && performance.now() - begun < 9_000; call++) {
      await Promise.all([pause(300), first.call({ id: `e${call}`, headers: { deadline: '300' } })]);
    }
    const statuses = await Promise.all(
      Array.from({ length: 10 }, async (_, call) => (await second.call({ id: `a${call}` })).status),
    );
    expect(statuses).toEqual(statuses.map(() => 200));
  }, 20_000);

  it('has callers wait for a permit that comes in time, and the others told when to come back', async () => {
    const [one] = (await startBackends('one')) as [TestBackend];
    one.handle = naming(() => '4', []);
    await startGroup(1);
    const [daemon] = daemons as [GatewayHarness];
    const route = testRoute({ goalMs: 600 });
    daemon.configure(testConfiguration({ version: 2, routes: [route] }));
    await daemon.call({ id: 'names' });
    await pause(1_000);
    const answers = await Promise.all(
      Array.from({ length: 12 }, (_, call) =>
        daemon.call({ id: `w${call}`, headers: { deadline: '1200' } }),
      ),
    );
    const served = answers.filter(({ status }) => status === 200);
    const refused = answers.filter(({ status }) => status === 503);
    expect(served.length + refused.length).toBe(answers.length);
    expect(served.length).toBeGreaterThanOrEqual(2);
    expect(refused.length).toBeGreaterThan(0);
    for (const { headers } of refused) {
      expect(headers['x-ran']).toBe('no');
      expect(Number(headers['retry-after'])).toBeGreaterThan(0.2);
      expect(Number(headers['retry-after'])).toBeLessThan(5);
    }
    const lines = daemon.lines.filter(({ event }) => event === 'permit_refused');
    expect(lines[0]?.fields).toMatchObject({ backend: 'one', perSecond: 4, reason: 'over_limit' });
  }, 20_000);

  it('gets a request that waits for a permit as soon as its limit has ended', async () => {
    const [one] = (await startBackends('one')) as [TestBackend];
    one.handle = naming(() => '0', []);
    await startGroup(1);
    const [daemon] = daemons as [GatewayHarness];
    const route = testRoute({ goalMs: 6_000 });
    daemon.configure(testConfiguration({ version: 2, routes: [route] }));
    await daemon.call({ id: 'names' });
    const begun = performance.now();
    const answer = daemon.call({ id: 'waits', headers: { deadline: '6000' } });
    const isRefused = (): boolean => daemon.lines.some(({ event }) => event === 'permit_refused');
    for (let look = 0; look < 30 && !isRefused(); look++) await pause(50);
    expect(isRefused()).toBe(true);
    const { permits } = daemon.context();
    const believed = permits.believed(one.record());
    permits.answered(one.record(), { type: 'unlimited' }, believed, 'other');
    expect((await answer).status).toBe(200);
    expect(performance.now() - begun).toBeLessThan(2_500);
  }, 20_000);

  it('is sent nothing more than before by the headers of another process at its address', async () => {
    const [one] = (await startBackends('one', 'two')) as [TestBackend];
    one.handle = (_request, response) => {
      response.writeHead(421, { 'not-run': 'yes', 'rate-limit': '0' }).end();
    };
    await startGroup(1);
    await callMany(20, 300);
    expect(daemons[0]?.context().permits.perSecond(one.record())).toBeUndefined();
  }, 20_000);
});
