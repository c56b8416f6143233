import { afterEach, describe, expect, it } from 'vitest';
import { GatewayHarness, pause, testConfiguration, testRoute } from './gateway-harness.js';
import { blockFor, blockNow, SeparateBackend } from './separate-backend.js';

const BODY = 'x'.repeat(200 * 1024);
/** The backend may be silent for 550 ms after it has read the body. */
const ROUTE = testRoute({ goalMs: 250, repeatability: 'repeatable' });

describe('a process that is paused after it has sent a long body', () => {
  let harness: GatewayHarness;
  let backends: SeparateBackend[];

  afterEach(async () => {
    harness.stop();
    await Promise.all(backends.map((backend) => backend.stop()));
  });

  it('does not count its pause as silence of the backend that has read the body', async () => {
    harness = await GatewayHarness.start();
    const limits = { ...testConfiguration().limits, bodyBytes: 2 * BODY.length };
    harness.configure(testConfiguration({ routes: [ROUTE], limits }));
    const answer = { events: 0, gapMs: 1_300 };
    backends = await Promise.all(['one', 'two'].map((id) => SeparateBackend.start(id, answer)));
    harness.list(backends.map((backend) => backend.record()));
    const call = harness.call({ id: 'a', body: BODY });
    const isSent = (): boolean => harness.lines.some(({ event }) => event === 'sent');
    while (!isSent()) await new Promise((resolve) => setImmediate(resolve));
    // Too short to count as a pause: the body is sent after it.
    blockNow(180);
    await pause(50);
    await blockFor(900);
    expect((await call).status).toBe(200);
    expect(backends.flatMap(({ arrivals }) => arrivals)).toHaveLength(1);
  });
});
