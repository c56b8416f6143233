/** Tests at a complete gateway how it handles a backend that has restarted under the same id. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerEvents,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';

describe('a backend that restarts under its id', () => {
  let harness: GatewayHarness;
  let earlier: TestBackend;
  let later: TestBackend;

  beforeEach(async () => {
    earlier = new TestBackend('one');
    later = new TestBackend('one');
    await earlier.start();
    await later.start();
    harness = await GatewayHarness.start();
    harness.configure(testConfiguration({ routes: [testRoute({ repeatability: 'once' })] }));
    harness.list([earlier.record({ start: 'one' })]);
  });

  afterEach(() => {
    harness.stop();
    earlier.stop();
    later.stop();
  });

  it('is not avoided because of failures of its earlier process', async () => {
    earlier.handle = (request) => request.socket.destroy();
    for (let failures = 0; failures < 4; failures++) await harness.call({ id: `f${failures}` });
    const { health } = harness.context();
    expect(health.failureShare('one')).toBeGreaterThan(0);
    harness.list([later.record({ start: 'two', revision: 2 })]);
    expect(health.failureShare('one')).toBe(0);
    expect(health.isEjected('one', performance.now())).toBe(false);
    expect((await harness.call({ id: 'a' })).status).toBe(200);
  });

  it('has requests in flight at the address of its earlier process ended, and logs the restart', async () => {
    earlier.handle = () => {};
    const call = harness.call({ id: 'a' });
    await pause(100);
    harness.list([later.record({ start: 'two', revision: 2 })]);
    const startedAt = performance.now();
    expect((await call).headers['x-ran']).toBe('unknown');
    expect(performance.now() - startedAt).toBeLessThan(500);
    const line = harness.lines.find(({ event }) => event === 'backend_restarted');
    expect(line?.fields).toMatchObject({ backend: 'one', earlierStart: 'one', start: 'two' });
    expect((await harness.call({ id: 'b' })).body).toBe('done b');
  });

  it('is not blamed for unfinished requests of its earlier process', async () => {
    earlier.handle = () => {};
    const call = harness.call({ id: 'a' });
    await pause(100);
    harness.list([later.record({ start: 'two', revision: 2 })]);
    await call;
    const { health } = harness.context();
    expect(health.failureShare('one')).toBe(0);
    expect(harness.context().tracker.inFlightAt('one')).toBe(0);
  });

  it('may finish a request that it accepted before its start was known to the gateway', async () => {
    const { address } = earlier;
    earlier.handle = answerEvents(1, 6, 50);
    const call = harness.call({ id: 'a' });
    await pause(100);
    harness.list([earlier.record({ start: 'two', revision: 2, address })]);
    expect(harness.context().tracker.inFlightAt('one')).toBe(0);
    const answer = await call;
    expect(answer).toMatchObject({ status: 200, complete: true });
    expect(harness.context().tracker.inFlightAt('one')).toBe(0);
  });

  it('receives nothing on connections of its earlier process', async () => {
    await harness.call({ id: 'a' });
    expect(harness.hasIdleConnection(earlier.address)).toBe(true);
    harness.list([earlier.record({ start: 'two', revision: 2 })]);
    expect(harness.hasIdleConnection(earlier.address)).toBe(false);
  });
});
