import { afterEach, expect, it } from 'vitest';
import {
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  type BackendHandler,
} from './gateway-harness.js';

const SILENCE_MS = 1_000;

const answerLate: BackendHandler = (_, response) => {
  setTimeout(() => response.writeHead(200, { signed: 'yes' }).end('late'), SILENCE_MS);
};

const answerWithLimit: BackendHandler = (_, response) => {
  response.writeHead(200, { signed: 'yes', 'rate-limit': '0.1' }).end('limited');
};

const silent = new TestBackend('silent', answerLate);
const limited = new TestBackend('limited', answerWithLimit);
let harness: GatewayHarness;

afterEach(() => {
  harness.stop();
  for (const backend of [silent, limited]) backend.stop();
});

it('does not give up a silent backend for one that is known to have no permit', async () => {
  for (const backend of [silent, limited]) await backend.start();
  harness = await GatewayHarness.start();
  harness.configure(testConfiguration());
  harness.list([limited.record()]);
  await harness.call({ id: 'uses the permit' });
  expect((await harness.call({ id: 'is refused a permit' })).status).toBe(503);
  harness.list([silent.record(), limited.record()]);
  await pause(20);
  const answer = await harness.call({ id: 'a' });
  expect(answer).toMatchObject({ status: 200, body: 'late' });
  expect(silent.arrivals.filter((id) => id === 'a')).toHaveLength(1);
});
