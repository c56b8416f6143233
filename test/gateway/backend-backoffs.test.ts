/*
 * Guards against ignoring a backend's `Retry-After`. A backend that refused requests with 503 and `Retry-After: 3` received 4 and
 * 8 requests within that time: each caller's request was sent four times, 250 ms apart. The header was not parsed, and a
 * refusal kept only the one request from the backend, for 250 ms.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { BackendBackoffs } from '../../src/core/backend-backoffs.js';
import {
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  type BackendHandler,
  type CallerView,
} from './gateway-harness.js';

/** Refuses each request with 503 and the given `Retry-After`. */
function refuseWithRetryAfter(seconds: string): BackendHandler {
  return (_request, response) => {
    response.writeHead(503, { 'not-run': 'yes', 'retry-after': seconds }).end();
  };
}

describe('a backend that sends Retry-After', () => {
  let harness: GatewayHarness;
  let one: TestBackend;
  let two: TestBackend;

  beforeEach(async () => {
    one = new TestBackend('one', refuseWithRetryAfter('0.8'));
    two = new TestBackend('two');
    harness = await GatewayHarness.startWithBackends([one, two]);
  });

  afterEach(() => {
    harness.stop();
    for (const backend of [one, two]) backend.stop();
  });

  async function callMany(count: number): Promise<CallerView[]> {
    const answers: CallerView[] = [];
    for (let call = 0; call < count; call++) answers.push(await harness.call({ id: `c${call}` }));
    return answers;
  }

  it('receives no request until that time has passed, and is used again afterwards', async () => {
    two.handle = refuseWithRetryAfter('0.6');
    const startedAt = performance.now();
    while (performance.now() - startedAt < 500) {
      const [answer] = await callMany(1);
      expect(answer?.status).toBe(503);
      await pause(20);
    }
    expect([one, two].map(({ arrivals }) => arrivals.length)).toEqual([1, 1]);
    for (const backend of [one, two]) backend.handle = answerWhole;
    await pause(400);
    expect((await harness.call({ id: 'later' })).status).toBe(200);
  });

  it('has its callers refused at once, with the time until the first of several backends is available', async () => {
    two.handle = refuseWithRetryAfter('3');
    await callMany(2);
    const startedAt = performance.now();
    const answer = await harness.call({ id: 'told' });
    expect(performance.now() - startedAt).toBeLessThan(100);
    expect(answer.status).toBe(503);
    expect(answer.headers['x-ran']).toBe('no');
    const retryAfter = Number(answer.headers['retry-after']);
    expect(retryAfter).toBeGreaterThan(0);
    expect(retryAfter).toBeLessThanOrEqual(0.8);
  });

  it('is left by requests that wait for it, even with a granted slot', async () => {
    harness.list([one.record()]);
    await callMany(1);
    const waiting = harness.call({ id: 'waits', headers: { deadline: '3000' } });
    const before = one.arrivals.length;
    harness.list([one.record(), two.record({ revision: 9 })]);
    await waiting;
    await callMany(5);
    expect(one.arrivals.length).toBe(before);
    expect(two.arrivals.length).toBeGreaterThan(4);
  });

  it.each(['', '-3', 'soon', 'Wed, 21 Oct 2026 07:28:00 GMT', '1e3', 'NaN', '0'])(
    'is not avoided after the value %j, which specifies no valid delay',
    async (value) => {
      one.handle = refuseWithRetryAfter(value);
      harness.list([one.record()]);
      await callMany(1);
      one.handle = answerWhole;
      await pause(300);
      expect((await harness.call({ id: 'again' })).status).toBe(200);
    },
  );

  it('does not affect other daemons or a later process under its id', () => {
    const backoffs = new BackendBackoffs();
    backoffs.recordBackoff({ id: 'a', start: '1' }, 3_000, 0);
    expect(backoffs.remainingMs({ id: 'a', start: '1' }, 2_999)).toBe(1);
    expect(backoffs.remainingMs({ id: 'a', start: '1' }, 3_000)).toBe(0);
    expect(backoffs.remainingMs({ id: 'a', start: '2' }, 1)).toBe(0);
    expect(new BackendBackoffs().remainingMs({ id: 'a', start: '1' }, 1)).toBe(0);
  });

  it('is not used earlier because of a later, shorter value, and is avoided for at most one hour', () => {
    const backoffs = new BackendBackoffs();
    backoffs.recordBackoff({ id: 'a' }, 3_000, 0);
    backoffs.recordBackoff({ id: 'a' }, 500, 100);
    expect(backoffs.remainingMs({ id: 'a' }, 1_000)).toBe(2_000);
    expect(backoffs.recordBackoff({ id: 'a' }, 7 * 86_400_000, 0)).toBe(3_600_000);
  });
});
