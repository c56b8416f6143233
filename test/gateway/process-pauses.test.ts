import { afterEach, describe, expect, it } from 'vitest';
import type { GatewaySettings } from '../../src/gateway/gateway-settings.js';
import { GatewayHarness, pause, testConfiguration, testRoute } from './gateway-harness.js';
import { blockFor, blockNow, SeparateBackend, type SeparateAnswer } from './separate-backend.js';

describe('a process that was paused', () => {
  let harness: GatewayHarness;
  let backends: SeparateBackend[] = [];

  async function startBackends(answer: SeparateAnswer): Promise<void> {
    backends = await Promise.all(['one', 'two'].map((id) => SeparateBackend.start(id, answer)));
    harness.list(backends.map((backend) => backend.record()));
  }

  async function start(part: Partial<GatewaySettings['bounds']> = {}): Promise<void> {
    const prepared = await GatewayHarness.prepare();
    const { bounds } = prepared.settings;
    harness = await GatewayHarness.start({ bounds: { ...bounds, ...part } });
    harness.configure(
      testConfiguration({
        routes: [
          testRoute({ name: 'stream', pathPrefix: '/s/', repeatability: 'resumable_stream' }),
          testRoute({ name: 'plain', pathPrefix: '/p/', repeatability: 'repeatable' }),
        ],
      }),
    );
  }

  function arrivals(): number {
    return backends.flatMap((backend) => backend.arrivals).length;
  }

  function hasLine(name: string): boolean {
    return harness.lines.some(({ event }) => event === name);
  }

  afterEach(async () => {
    harness.stop();
    await Promise.all(backends.map((backend) => backend.stop()));
  });

  it('does not take its own pause for silence of a backend, whose events lie in the socket', async () => {
    await start();
    await startBackends({ events: 60, gapMs: 30 });
    const answer = harness.call({ id: 'a', path: '/s/x' });
    await pause(300);
    await blockFor(900);
    expect((await answer).complete).toBe(true);
    expect(arrivals()).toBe(1);
    const paused = harness.lines.find(({ event }) => event === 'process_paused');
    expect(paused?.fields.milliseconds).toBeGreaterThan(600);
  });

  it('cuts no stream after its pause when the retry budget is exhausted', async () => {
    await start({ retryRatio: 0, retrySlack: 0 });
    await startBackends({ events: 60, gapMs: 30 });
    const answers = ['a', 'b', 'c'].map((id) => harness.call({ id, path: '/s/x' }));
    await pause(300);
    await blockFor(900);
    for (const answer of await Promise.all(answers)) expect(answer.complete).toBe(true);
  });

  it('waits for a plain answer that came during its pause', async () => {
    await start();
    await startBackends({ events: 0, gapMs: 600 });
    const answer = harness.call({ id: 'a', path: '/p/x' });
    await pause(200);
    await blockFor(700);
    expect((await answer).status).toBe(200);
    expect(arrivals()).toBe(1);
  });

  it('delivers an answer that came before the deadline that passed during its pause', async () => {
    await start();
    await startBackends({ events: 0, gapMs: 400 });
    const answer = harness.call({ id: 'a', path: '/p/x', headers: { deadline: '700' } });
    await pause(150);
    await blockFor(900);
    expect((await answer).status).toBe(200);
  });

  it('does not take a backend for unreachable whose connection opened during its pause', async () => {
    await start();
    await startBackends({ events: 0, gapMs: 10 });
    const answer = harness.call({ id: 'a', path: '/p/x' });
    // The connection opens within the pause: it was started in this turn of the event loop.
    while (!hasLine('sent')) await new Promise((resolve) => setImmediate(resolve));
    blockNow(600);
    expect((await answer).status).toBe(200);
    expect(hasLine('attempt_failed')).toBe(false);
    expect(hasLine('backend_unreachable')).toBe(false);
  });
});
