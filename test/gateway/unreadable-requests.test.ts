/**
 * Guards against requests that run although their callers were answered as if they had not been read, and against
 * an answer to bytes that could not be read within, or in place of, the answer to another request.
 */
import type http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerEvents,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';
import { PIECE, RawCaller } from './raw-caller.js';
import { blockNow } from './separate-backend.js';

/** A limit for a head or body, and the time after which the server has noticed that it has passed. */
const LIMIT_MS = 200;
const NOTICED_MS = LIMIT_MS + 900;

const ROUTES = [
  testRoute({ name: 'once', pathPrefix: '/work/', repeatability: 'once' }),
  testRoute({ name: 'stream', pathPrefix: '/stream/', repeatability: 'resumable_stream' }),
];

describe('a request that could not be read', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  let caller: RawCaller;

  beforeEach(async () => {
    backend = new TestBackend('one');
    harness = await GatewayHarness.startWithBackends([backend]);
    harness.configure(testConfiguration({ version: 2, routes: ROUTES }));
    const { front } = harness.gateway as unknown as { front: { server: http.Server } };
    front.server.headersTimeout = LIMIT_MS;
    front.server.requestTimeout = LIMIT_MS;
    caller = new RawCaller(harness.settings.callers);
  });

  afterEach(() => {
    caller.close();
    harness.stop();
    backend.stop();
  });

  it('because its body came too late is answered with 408, and is not sent when the body comes after all', async () => {
    caller.writeHead('a', 2, 4_000);
    caller.write(PIECE);
    await pause(NOTICED_MS);
    expect(caller.status).toBe(408);
    expect(caller.received).toContain('X-Ran: no');
    caller.write(PIECE);
    await pause(200);
    expect(backend.arrivals).toEqual([]);
    expect(caller.received.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(caller.closedBy).toBe('end');
  });

  it('because its head came too late is answered with 408, and is not sent when the head comes after all', async () => {
    caller.write('POST /work/x HTTP/1.1\r\nhost: service.test\r\n');
    await pause(NOTICED_MS);
    expect(caller.status).toBe(408);
    expect(caller.received).toContain('X-Ran: no');
    caller.write('request-id: a\r\ncontent-length: 0\r\n\r\n');
    await pause(200);
    expect(backend.arrivals).toEqual([]);
    expect(caller.received.match(/HTTP\/1\.1/g)).toHaveLength(1);
  });

  it('because its body never came is answered with 408 although its head came during a pause of the process', async () => {
    caller.write('POST /work/x HTTP/1.1\r\nhost: service.test\r\n');
    await pause(50);
    caller.write('request-id: a\r\ncontent-length: 2000\r\n\r\n');
    // The limit for the head passes, and the server's check becomes due.
    blockNow(NOTICED_MS);
    await pause(2 * NOTICED_MS);
    expect(caller.status).toBe(408);
  });

  it('is answered with 400 only if its bytes are no request', async () => {
    caller.write('no request\r\n\r\n');
    await caller.answered();
    expect(caller.status).toBe(400);
    expect(caller.received).toContain('X-Ran: no');
  });

  it('because no byte of it came has no answer', async () => {
    await pause(NOTICED_MS);
    expect(caller.received).toBe('');
    expect(caller.closedBy).toBeDefined();
  });

  it.each([
    ['bytes that are no request', 'no request\r\n\r\n', 50],
    ['a head that comes too late', 'POST /work/x HTTP/1.1\r\n', NOTICED_MS],
  ])('does not disturb the stream before it on the connection: %s', async (_, bytes, waitMs) => {
    backend.handle = answerEvents(1, 30, (waitMs + 600) / 30);
    caller.write(
      'GET /stream/x HTTP/1.1\r\nhost: service.test\r\nrequest-id: a\r\ndeadline: 4000\r\n\r\n',
    );
    await pause(200);
    caller.write(bytes);
    await pause(waitMs + 1_000);
    expect(caller.status).toBe(200);
    expect(caller.received.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(caller.received).toMatch(/data: 30\n\n[\r\n]*0\r\n\r\n$/);
    expect(caller.closedBy).toBe('end');
  });

  it.each([
    ['bytes that are no request', 'no request\r\n\r\n', 50],
    ['a head that comes too late', 'POST /work/x HTTP/1.1\r\n', NOTICED_MS],
  ])('is not answered in place of a request that runs: %s', async (_, bytes, waitMs) => {
    const { handle } = backend;
    backend.handle = (...passed) => void setTimeout(() => handle(...passed), waitMs + 300);
    caller.write(
      'GET /work/x HTTP/1.1\r\nhost: service.test\r\nrequest-id: a\r\ndeadline: 4000\r\n\r\n',
    );
    await pause(50);
    caller.write(bytes);
    await pause(waitMs + 600);
    expect(caller.status).toBe(200);
    expect(caller.received).toContain('done a');
    expect(caller.received.match(/HTTP\/1\.1/g)).toHaveLength(1);
  });
});
