import http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { endAfterRequest, listen } from '../../src/common/http-server.js';
import { GatewayHarness, pause, TestBackend, testConfiguration } from './gateway-harness.js';
import { PIECE, RawCaller } from './raw-caller.js';

const PIECES = 20;

/** Writes a body piece by piece, and reads the answer only then. */
async function writeBody(caller: RawCaller): Promise<void> {
  for (let piece = 0; piece < PIECES; piece++) {
    caller.write(PIECE);
    await pause(20);
  }
  await pause(100);
}

describe('a refusal to a caller that is still sending its body', () => {
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

  it('comes whole while the daemon stops, and the connection is closed only after the body', async () => {
    const stopped = harness.gateway.drain();
    await pause(2_400 - 100);
    caller.writeHead('a', PIECES);
    await writeBody(caller);
    expect(caller.status).toBe(503);
    expect(caller.received).toContain('draining');
    expect(caller.closedBy).toBe('end');
    await stopped;
  });

  it('comes whole for a body that is too large', async () => {
    const limits = { headerBytes: 2_000, bodyBytes: 10_000, headerTimeoutMs: 3_000 };
    harness.configure(testConfiguration({ limits: { ...limits, idleTimeoutMs: 5_000 } }));
    caller.writeHead('a', PIECES);
    await writeBody(caller);
    expect(caller.status).toBe(413);
    expect(caller.closedBy).not.toBe('error');
  });
});

describe('a response that ends after its request', () => {
  let server: http.Server;
  let caller: RawCaller;

  async function answerWith(action: (response: http.ServerResponse) => void): Promise<void> {
    server = http.createServer((_request, response) => action(response));
    const port = await listen(server, '127.0.0.1', 0);
    caller = new RawCaller(`127.0.0.1:${port}`);
  }

  afterEach(() => {
    caller.close();
    server.close();
    server.closeAllConnections();
  });

  it('does not wait for a body that never ends', async () => {
    let endedAfterMs = Infinity;
    await answerWith((response) => {
      const startedAt = performance.now();
      response.writeHead(503, { connection: 'close' });
      response.on('finish', () => (endedAfterMs = performance.now() - startedAt));
      endAfterRequest(response, 'no');
    });
    caller.writeHead('a', 2);
    await pause(2_300);
    expect(endedAfterMs).toBeLessThan(2_200);
  });

  it('ends at once if its request is complete', async () => {
    await answerWith((response) => {
      response.writeHead(503, { connection: 'close' });
      setTimeout(() => endAfterRequest(response, 'no'), 50);
    });
    caller.writeHead('a', 1);
    caller.write(PIECE);
    await pause(200);
    expect(caller.closedBy).toBe('end');
  });
});
