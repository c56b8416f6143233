/*
 * A backend said in an answer that it leaves, and got requests of the gateway that had passed this answer on for as long as the
 * store had not acknowledged the same: 5.1 s later in one case, where the store took 12.7 s. In the gateway's log the request
 * stands as `sent backend=... backends=8`, without an age of its list. Nothing read the word in the answer's head.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerWhole,
  GatewayHarness,
  TestBackend,
  testConfiguration,
  type BackendHandler,
} from './gateway-harness.js';

const REQUESTS = 20;

/** Answers as usual, and says that it leaves. */
const answerLeaving: BackendHandler = (request, response) => {
  response.setHeader('leaving', '1');
  answerWhole(request, response);
};

describe('a backend that says in its answers that it leaves', () => {
  let harness: GatewayHarness;
  let one: TestBackend;
  let two: TestBackend;

  beforeEach(async () => {
    harness = await GatewayHarness.start();
    one = new TestBackend('one', answerLeaving);
    two = new TestBackend('two');
    for (const backend of [one, two]) await backend.start();
    harness.configure(testConfiguration());
    harness.list([one.record(), two.record()]);
  });

  afterEach(() => {
    harness.stop();
    for (const backend of [one, two]) backend.stop();
  });

  async function callMany(): Promise<number[]> {
    const statuses: number[] = [];
    for (let call = 0; call < REQUESTS; call++) {
      statuses.push((await harness.call({ id: `c${call}` })).status);
    }
    return statuses;
  }

  it('gets no request after the first answer', async () => {
    const statuses = await callMany();
    expect(statuses).toEqual(statuses.map(() => 200));
    expect(one.arrivals.length).toBeLessThanOrEqual(1);
    expect(two.arrivals.length).toBeGreaterThanOrEqual(REQUESTS - 1);
  });
});
