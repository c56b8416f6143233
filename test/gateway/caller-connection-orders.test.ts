import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerEvents,
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';
import { RawCaller } from './raw-caller.js';
import { blockNow } from './separate-backend.js';

/** Longer than a stop takes that waits for nothing. */
const SHORT_STOP_MS = 3_500;

const onceRoute = testRoute({ name: 'once', pathPrefix: '/once/', repeatability: 'once' });

/** A request without a body. */
function requestText(id: string, path = '/work/x', version = '1.1'): string {
  return (
    `POST ${path} HTTP/${version}\r\nhost: service.test\r\nrequest-id: ${id}\r\n` +
    'deadline: 4000\r\ncontent-length: 0\r\n\r\n'
  );
}

describe('connections of callers', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  const callers: RawCaller[] = [];

  function call(): RawCaller {
    const caller = new RawCaller(harness.settings.callers);
    callers.push(caller);
    return caller;
  }

  async function until(isDone: () => boolean, limitMs = 5_000): Promise<void> {
    const startedAt = performance.now();
    while (!isDone() && performance.now() - startedAt < limitMs) await pause(10);
  }

  beforeEach(async () => {
    backend = new TestBackend('one');
    await backend.start();
    harness = await GatewayHarness.start();
    const stream = testRoute({ repeatability: 'resumable_stream', timeoutMs: 9_000 });
    const limits = {
      headerBytes: 2_000,
      bodyBytes: 10_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    };
    harness.configure(testConfiguration({ routes: [stream, onceRoute], limits }));
    harness.list([backend.record()]);
  });

  afterEach(() => {
    for (const caller of callers.splice(0)) caller.close();
    harness.stop();
    backend.stop();
  });

  it('answers each of several requests written at once, although a stop begins before the first answer', async () => {
    backend.handle = (request, response) => {
      setTimeout(() => answerWhole(request, response), 300);
    };
    const caller = call();
    caller.write(requestText('a', '/once/x') + requestText('b', '/once/x'));
    await until(() => backend.arrivals.length === 2);
    const stopped = harness.gateway.drain();
    await until(() => caller.closedBy !== undefined, 1_500);
    expect(backend.arrivals).toEqual(['a', 'b']);
    expect(caller.received).toContain('done a');
    expect(caller.received).toContain('done b');
    await stopped;
  });

  it('a stop does not wait for requests written at once whose caller has left', async () => {
    backend.handle = () => {};
    const caller = call();
    caller.write(requestText('a') + requestText('b'));
    await until(() => backend.arrivals.length === 2);
    caller.close();
    await pause(100);
    const startedAt = performance.now();
    await harness.gateway.drain();
    expect(performance.now() - startedAt).toBeLessThan(SHORT_STOP_MS);
    expect(harness.context().exchanges.size).toBe(0);
  });

  it('writes nothing into a stream because its caller sends bytes that are no request', async () => {
    backend.handle = answerEvents(1, 10, 30);
    const caller = call();
    caller.write(requestText('a'));
    await until(() => caller.received.includes('data: 2'));
    caller.write('no request\r\n\r\n');
    await until(() => caller.received.includes('data: 10') || caller.closedBy !== undefined);
    await pause(50);
    expect(caller.received).not.toContain('400 Bad Request');
    expect(caller.received).toContain('data: 10');
    expect(caller.received.endsWith('0\r\n\r\n')).toBe(true);
  });

  it('answers a request whose head came in time, although the process was paused then', async () => {
    const caller = call();
    caller.write('POST /once/x HTTP/1.1\r\nhost: service.test\r\n');
    await pause(100);
    backend.handle = answerWhole;
    caller.write('request-id: a\r\ncontent-length: 0\r\n\r\n');
    blockNow(1_800);
    await caller.answered();
    expect(caller.status).toBe(200);
  });

  it('answers a request on a kept connection that came in time, although the process was paused then', async () => {
    const caller = call();
    caller.write(requestText('a', '/once/x'));
    await caller.answered();
    await pause(300);
    caller.received = '';
    caller.write(requestText('b', '/once/x'));
    blockNow(2_500);
    await caller.answered();
    expect(caller.status).toBe(200);
  });

  it('answers a request on a kept connection that came before idle connections are closed, although the process was paused then', async () => {
    harness.configure(testConfiguration({ version: 2, routes: [onceRoute] }));
    const caller = call();
    caller.write(requestText('a', '/once/x'));
    await caller.answered();
    caller.received = '';
    const stopped = harness.gateway.drain();
    await pause(2_200);
    caller.write(requestText('b', '/once/x'));
    blockNow(300);
    await caller.answered();
    expect(caller.status).toBe(503);
    await stopped;
  });

  it('does not run a request that follows an answer with Connection: close', async () => {
    backend.handle = answerEvents(1, 20, 30);
    const caller = call();
    const stopped = harness.gateway.drain();
    caller.write(requestText('a'));
    await until(() => caller.received.includes('data: 2'));
    caller.write(requestText('b', '/once/x'));
    await until(() => caller.closedBy !== undefined);
    expect(caller.received).toContain('Connection: close');
    expect(caller.received).toContain('data: 20');
    expect(backend.arrivals).toEqual(['a']);
    await stopped;
  });

  it('states that a request whose head does not come in time has not run', async () => {
    const caller = call();
    caller.write('POST /work/x HTTP/1.1\r\nhost: service.test\r\n');
    await until(() => caller.closedBy !== undefined);
    expect(caller.status).toBe(408);
  });

  it('refuses a resumption whose origin is not known when the time for a stop is over', async () => {
    const { streamOrigins } = harness.context();
    Object.assign(streamOrigins, { locate: () => new Promise(() => {}) });
    backend.handle = () => {};
    const answer = harness.call({ id: 'a', headers: { resumes: 'z', deadline: '9000' } });
    await pause(50);
    const stopped = harness.gateway.drain();
    expect((await answer).status).toBe(503);
    await stopped;
  }, 12_000);

  it('answers an HTTP/1.0 caller around a stop', async () => {
    backend.handle = answerEvents(1, 10, 30);
    const caller = call();
    caller.write(requestText('a', '/work/x', '1.0'));
    await until(() => backend.arrivals.length === 1);
    const stopped = harness.gateway.drain();
    await until(() => caller.closedBy !== undefined);
    expect(caller.received).toContain('data: 10');
    expect(caller.closedBy).toBe('end');
    await stopped;
  });

  it('answers a caller that waits for 100 Continue around a stop', async () => {
    const caller = call();
    const expects = 'content-length: 4\r\nexpect: 100-continue';
    caller.write(requestText('a', '/once/x').replace('content-length: 0', expects));
    await until(() => caller.received.includes('100 Continue'));
    const stopped = harness.gateway.drain();
    caller.write('body');
    await until(() => caller.closedBy !== undefined);
    expect(caller.received).toContain('done a');
    await stopped;
  });

  it('answers a request on a kept connection that comes when idle connections are closed', async () => {
    const caller = call();
    caller.write(requestText('a', '/once/x'));
    await caller.answered();
    caller.received = '';
    const stopped = harness.gateway.drain();
    await pause(900);
    caller.write(requestText('b', '/once/x'));
    await caller.answered();
    expect(caller.status).toBe(200);
    await stopped;
  });

  it('delivers a whole answer to a caller that reads slowly around a stop', async () => {
    const body = 'x'.repeat(6_000_000);
    backend.handle = (_request, response) => {
      response.writeHead(200, { signed: 'yes', 'request-id': 'a' });
      response.end(body);
    };
    const answer = new Promise<number>((resolve, reject) => {
      const request = harness.request({ id: 'a', path: '/once/x' }, (response) => {
        let size = 0;
        response.pause();
        setTimeout(() => response.resume(), 3_000);
        response.on('data', (chunk: Buffer) => (size += chunk.length));
        response.on('end', () => resolve(size));
        response.on('error', reject);
      });
      request.on('error', reject);
    });
    await pause(100);
    const stopped = harness.gateway.drain();
    expect(await answer).toBe(body.length);
    await stopped;
  });
});
