/*
 * A backend turned a gateway away with 503 and `Retry-After: 3`, and got 4 and 8 requests of it in that time: one caller's, sent
 * four times 250 ms apart, and then the next caller's. The time that a backend asks for was not read; a refusal kept one
 * request from one backend for 250 ms.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
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
    harness = await GatewayHarness.start();
    one = new TestBackend('one', asksForRest('0.8'));
    two = new TestBackend('two');
    for (const backend of [one, two]) await backend.start();
    harness.configure(testConfiguration());
    harness.list([one.record(), two.record()]);
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
});
