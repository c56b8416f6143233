import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayHarness, pause, TestBackend } from './gateway-harness.js';
import { RawCaller } from './raw-caller.js';

/** A stop without work ends soon after the time in which the load balancer may still send requests. */
const MAX_STOP_MS = 2_800;

const REQUEST = 'POST /work/x HTTP/1.1\r\nhost: service.test\r\ncontent-length: 0\r\n';

describe('a connection that its caller has left', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  let caller: RawCaller;

  beforeEach(async () => {
    backend = new TestBackend('one');
    harness = await GatewayHarness.startWithBackends([backend]);
    caller = new RawCaller(harness.settings.callers);
  });

  afterEach(() => {
    caller.close();
    harness.stop();
    backend.stop();
  });

  async function stopMs(): Promise<number> {
    const startedAt = performance.now();
    await harness.gateway.drain();
    return performance.now() - startedAt;
  }

  it('does not delay a planned stop by a pipelined request whose caller has left before its turn', async () => {
    backend.handle = () => {};
    caller.write(`${REQUEST}request-id: a\r\n\r\n${REQUEST}request-id: b\r\n\r\n`);
    await pause(200);
    caller.close();
    await pause(100);
    expect(await stopMs()).toBeLessThan(MAX_STOP_MS);
  });

  it('does not keep a backend at work for a pipelined request whose caller has left before its turn', async () => {
    let closed = 0;
    backend.handle = (_request, response) => void response.on('close', () => (closed += 1));
    caller.write(`${REQUEST}request-id: a\r\n\r\n${REQUEST}request-id: b\r\n\r\n`);
    await pause(200);
    caller.close();
    await pause(200);
    expect(backend.arrivals).toHaveLength(2);
    expect(closed).toBe(2);
  });

  it('does not delay a planned stop by staying half open after bytes that are no request', async () => {
    caller.write('no request\r\n\r\n');
    await pause(200);
    expect(caller.status).toBe(400);
    expect(await stopMs()).toBeLessThan(MAX_STOP_MS);
  });
});
