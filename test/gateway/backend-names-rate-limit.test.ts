/*
 * Guards against ignoring a rate limit that a backend announces in its answers. A backend announced 1 request per second, but two
 * gateways that had received such answers sent it 8 and 6 requests in 4 s, where 11 are allowed in total. The limit was not parsed.
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
/** Duration for which requests are sent; it is longer than one window. */
const CALLING_MS = 4_600;

/** Returns the arrivals that a backend's limit allows in any window, as backends count them. */
function allowedArrivals(perSecond: number): number {
  return Math.floor((1.5 * perSecond * WINDOW_MS) / 1_000 + 5);
}

/** Answers each request completely and announces a limit. */
function answerWithLimit(limit: () => string | undefined, arrivedAt: number[]): BackendHandler {
  return (request, response) => {
    arrivedAt.push(performance.now());
    const header = limit();
    if (header !== undefined) response.setHeader('rate-limit', header);
    answerWhole(request, response);
  };
}

/** Returns the largest number of times within any window. */
function maxInWindow(times: readonly number[]): number {
  const counts = times.map((end) => times.filter((at) => at <= end && end - at <= WINDOW_MS));
  return Math.max(0, ...counts.map(({ length }) => length));
}

describe('a backend that announces a rate limit', () => {
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
    const seesAllMembers = (daemon: GatewayHarness): boolean =>
      daemon.gateway['peers'].live().length === count;
    for (let attempt = 0; attempt < 60 && !daemons.every(seesAllMembers); attempt++)
      await pause(100);
    expect(daemons.every(seesAllMembers)).toBe(true);
  }

  /** Calls the daemons in turn and returns the statuses. */
  async function callMany(perSecond: number, forMs = CALLING_MS): Promise<number[]> {
    const answers: Promise<number>[] = [];
    const startedAt = performance.now();
    for (let call = 0; performance.now() - startedAt < forMs; call++) {
      const daemon = daemons[call % daemons.length] as GatewayHarness;
      answers.push(daemon.call({ id: `c${call}` }).then(({ status }) => status));
      await pause(startedAt + ((call + 1) * 1_000) / perSecond - performance.now());
    }
    return Promise.all(answers);
  }

  it('receives no more requests than that from several gateways together', async () => {
    const [one] = (await startBackends('one', 'two')) as [TestBackend];
    const arrivedAt: number[] = [];
    one.handle = answerWithLimit(() => '2.5', arrivedAt);
    await startGroup(6);
    const statuses = await callMany(20);
    expect(maxInWindow(arrivedAt)).toBeLessThanOrEqual(allowedArrivals(2.5));
    expect(statuses).toEqual(statuses.map(() => 200));
  }, 20_000);

  it('is avoided by daemons that have received no answer from it, including one that joins later', async () => {
    const [one] = (await startBackends('one', 'two')) as [TestBackend];
    one.handle = answerWithLimit(() => '0', []);
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
    const settings = { name: 'late', address: '127.0.0.9', seeds: ['127.0.0.1'], peerPort };
    const lateDaemon = await GatewayHarness.start(settings);
    daemons.push(lateDaemon);
    lateDaemon.configure(testConfiguration());
    lateDaemon.list(backends.map((backend) => backend.record()));
    const hasLimit = (): boolean => lateDaemon.context().permits.perSecond(one.record()) === 0;
    for (let attempt = 0; attempt < 30 && !hasLimit(); attempt++) await pause(100);
    expect(hasLimit()).toBe(true);
    const events = lateDaemon.lines.filter(({ event }) => event === 'rate_limit_named');
    expect(events[0]?.fields).toMatchObject({ backend: 'one', perSecond: 0, source: 'peer' });
  }, 20_000);

  it('receives requests from all daemons without a limit again once it announces none', async () => {
    const [one] = (await startBackends('one')) as [TestBackend];
    let limit: string | undefined = '0';
    one.handle = answerWithLimit(() => limit, []);
    await startGroup(2);
    const [first, second] = daemons as [GatewayHarness, GatewayHarness];
    await first.call({ id: 'names' });
    limit = undefined;
    const hasEnded = (daemon: GatewayHarness): boolean =>
      daemon.lines.some(({ event }) => event === 'rate_limit_ended');
    const startedAt = performance.now();
    for (let call = 0; !daemons.every(hasEnded) && performance.now() - startedAt < 9_000; call++) {
      await Promise.all([pause(300), first.call({ id: `e${call}`, headers: { deadline: '300' } })]);
    }
    const statuses = await Promise.all(
      Array.from({ length: 10 }, async (_, call) => (await second.call({ id: `a${call}` })).status),
    );
    expect(statuses).toEqual(statuses.map(() => 200));
  }, 20_000);

  it('has callers wait for a permit granted in time, and refuses the others with Retry-After', async () => {
    const [one] = (await startBackends('one')) as [TestBackend];
    one.handle = answerWithLimit(() => '4', []);
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

  it('receives a request that waits for a permit as soon as its limit has been lifted', async () => {
    const [one] = (await startBackends('one')) as [TestBackend];
    one.handle = answerWithLimit(() => '0', []);
    await startGroup(1);
    const [daemon] = daemons as [GatewayHarness];
    const route = testRoute({ goalMs: 6_000 });
    daemon.configure(testConfiguration({ version: 2, routes: [route] }));
    await daemon.call({ id: 'names' });
    const startedAt = performance.now();
    const answer = daemon.call({ id: 'waits', headers: { deadline: '6000' } });
    const isRefused = (): boolean => daemon.lines.some(({ event }) => event === 'permit_refused');
    for (let attempt = 0; attempt < 30 && !isRefused(); attempt++) await pause(50);
    expect(isRefused()).toBe(true);
    const { permits } = daemon.context();
    const recorded = permits.recordedLimit(one.record());
    const unlimited = { type: 'unlimited' } as const;
    const rejections = { tolerated: unlimited, isRejection: false };
    permits.recordAnswer(one.record(), { rateLimit: unlimited, rejections }, recorded, 'other');
    expect((await answer).status).toBe(200);
    expect(performance.now() - startedAt).toBeLessThan(2_500);
  }, 20_000);

  it('gets no limit from the headers of another process at its address', async () => {
    const [one] = (await startBackends('one', 'two')) as [TestBackend];
    one.handle = (_request, response) => {
      response.writeHead(421, { 'not-run': 'yes', 'rate-limit': '0' }).end();
    };
    await startGroup(1);
    await callMany(20, 300);
    expect(daemons[0]?.context().permits.perSecond(one.record())).toBeUndefined();
  }, 20_000);
});
