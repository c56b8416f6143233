/*
 * A backend turned a gateway away with 503 and `Retry-After: 3`, and got 4 and 8 requests of it in that time: one caller's, sent
 * four times 250 ms apart, and then the next caller's. The time that a backend asks for was not read; a refusal kept one
 * request from one backend for 250 ms.
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

/** Turns requests away, and wants none for so many seconds. */
function asksForRest(seconds: string): BackendHandler {
  return (_request, response) => {
    response.writeHead(503, { 'not-run': 'yes', 'retry-after': seconds }).end();
  };
}

describe('a backend that asks for rest', () => {
  let harness: GatewayHarness;
  let one: TestBackend;
  let two: TestBackend;

  beforeEach(async () => {
    one = new TestBackend('one', asksForRest('0.8'));
    two = new TestBackend('two');
    harness = await GatewayHarness.startBefore([one, two]);
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

  it('gets no request until the end of that time, and is used again then', async () => {
    two.handle = asksForRest('0.6');
    const begun = performance.now();
    while (performance.now() - begun < 500) {
      const [answer] = await callMany(1);
      expect(answer?.status).toBe(503);
      await pause(20);
    }
    expect([one, two].map(({ arrivals }) => arrivals.length)).toEqual([1, 1]);
    for (const backend of [one, two]) backend.handle = answerWhole;
    await pause(400);
    expect((await harness.call({ id: 'later' })).status).toBe(200);
  });

  it('has its callers told at once when the first of several is back', async () => {
    two.handle = asksForRest('3');
    await callMany(2);
    const begun = performance.now();
    const answer = await harness.call({ id: 'told' });
    expect(performance.now() - begun).toBeLessThan(100);
    expect(answer.status).toBe(503);
    expect(answer.headers['x-ran']).toBe('no');
    const told = Number(answer.headers['retry-after']);
    expect(told).toBeGreaterThan(0);
    expect(told).toBeLessThanOrEqual(0.8);
  });

  it('is left by what waits for it, also on a granted slot', async () => {
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
    'asks for nothing with %j',
    async (value) => {
      one.handle = asksForRest(value);
      harness.list([one.record()]);
      await callMany(1);
      one.handle = answerWhole;
      await pause(300);
      expect((await harness.call({ id: 'again' })).status).toBe(200);
    },
  );

  it('asks another daemon for nothing, and a later process under its id neither', () => {
    const backoffs = new BackendBackoffs();
    backoffs.recordBackoff({ id: 'a', start: '1' }, 3_000, 0);
    expect(backoffs.remainingMs({ id: 'a', start: '1' }, 2_999)).toBe(1);
    expect(backoffs.remainingMs({ id: 'a', start: '1' }, 3_000)).toBe(0);
    expect(backoffs.remainingMs({ id: 'a', start: '2' }, 1)).toBe(0);
    expect(new BackendBackoffs().remainingMs({ id: 'a', start: '1' }, 1)).toBe(0);
  });

  it('is not shortened by a later word, and never kept out for days at once', () => {
    const backoffs = new BackendBackoffs();
    backoffs.recordBackoff({ id: 'a' }, 3_000, 0);
    backoffs.recordBackoff({ id: 'a' }, 500, 100);
    expect(backoffs.remainingMs({ id: 'a' }, 1_000)).toBe(2_000);
    expect(backoffs.recordBackoff({ id: 'a' }, 7 * 86_400_000, 0)).toBe(3_600_000);
  });
});
