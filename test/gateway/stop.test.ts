import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerEvents,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';

describe('a planned stop', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;

  beforeEach(async () => {
    backend = new TestBackend('one');
    await backend.start();
    harness = await GatewayHarness.start();
    harness.configure(
      testConfiguration({
        routes: [testRoute({ repeatability: 'resumable_stream', timeoutMs: 9_000 })],
      }),
    );
    harness.list([backend.record()]);
  });

  afterEach(() => {
    harness.stop();
    backend.stop();
  });

  it('lets a stream that began before the stop complete', async () => {
    backend.handle = answerEvents(1, 20, 20);
    const answer = harness.call({ id: 'a' });
    await pause(100);
    const stopped = harness.gateway.drain();
    expect((await answer).complete).toBe(true);
    await stopped;
  });

  it('still accepts requests until the load balancer has noticed', async () => {
    const stopped = harness.gateway.drain();
    backend.handle = answerEvents(1, 2, 10);
    const answer = await harness.call({ id: 'a' });
    expect(answer.status).toBe(200);
    expect(answer.headers.connection).toBe('close');
    await stopped;
  });

  it('refuses later requests, stating that they have not run, because a stream might be interrupted', async () => {
    backend.handle = answerEvents(1, 200, 20);
    const running = harness.call({ id: 'long', headers: { deadline: '9000' } });
    await pause(50);
    const stopped = harness.gateway.drain();
    await pause(2_700);
    const late = await harness.call({ id: 'late' });
    expect(late.status).toBe(503);
    expect(late.headers['x-ran']).toBe('no');
    expect(backend.arrivals).not.toContain('late');
    expect((await running).complete).toBe(true);
    await stopped;
  });
});
