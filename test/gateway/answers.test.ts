import net from 'node:net';
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

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nsigned: yes\r\nrequest-id: a\r\n\r\n';

describe('answers of backends', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  const servers: net.Server[] = [];

  beforeEach(async () => {
    backend = new TestBackend('one');
    await backend.start();
    harness = await GatewayHarness.start();
    harness.configure(testConfiguration({ routes: [testRoute({ repeatability: 'once' })] }));
    harness.list([backend.record()]);
  });

  afterEach(() => {
    harness.stop();
    backend.stop();
    for (const server of servers.splice(0)) server.close();
  });

  /**
   * Starts a TCP server as a backend and returns its "ip:port". `end` gets each connection once a request has
   * arrived.
   */
  async function rawBackend(end: (socket: net.Socket) => void): Promise<string> {
    const server = net.createServer((socket) => {
      socket.on('error', () => socket.destroy());
      socket.once('data', () => end(socket));
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = server.address();
    return `127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`;
  }

  it('forwards a complete answer without a length', async () => {
    const address = await rawBackend((socket) => socket.end(`${UNFRAMED_HEAD}whole`));
    harness.list([backend.record({ address })]);
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 200, body: 'whole', complete: true });
  });

  it('does not forward an answer without a length whose connection is reset directly after its bytes', async () => {
    const address = await rawBackend((socket) => {
      socket.write(`${UNFRAMED_HEAD}par`);
      socket.resetAndDestroy();
    });
    harness.list([backend.record({ address })]);
    const answer = await harness.call({ id: 'a' });
    expect(answer.status).toBe(502);
  });

  it('does not present an answer as whole that may have been cut off after its head', async () => {
    const address = await rawBackend((socket) => socket.end(UNFRAMED_HEAD));
    harness.list([backend.record({ address })]);
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 200, body: '' });
    expect(answer.headers['content-length']).toBeUndefined();
    expect(answer.headers['transfer-encoding']).toBeUndefined();
    expect(answer.headers.connection).toBe('close');
  });

  it('sends a request again whose answer may have been cut off after its head, if it may run again', async () => {
    harness.configure(testConfiguration({ version: 2, routes: [testRoute()] }));
    const address = await rawBackend((socket) => socket.end(UNFRAMED_HEAD));
    const other = new TestBackend('two', answerWhole);
    await other.start();
    harness.list([backend.record({ address }), other.record({ zone: 'b' })]);
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 200, body: 'done a', complete: true });
    other.stop();
  });

  it('passes on an answer whose status has no body as a whole one', async () => {
    const address = await rawBackend((socket) =>
      socket.end(UNFRAMED_HEAD.replace('200 OK', '204 No Content')),
    );
    harness.list([backend.record({ address })]);
    expect(await harness.call({ id: 'a' })).toMatchObject({ status: 204, complete: true });
  });

  it('passes on the answer to a HEAD request, which has no body', async () => {
    harness.configure(testConfiguration({ version: 2, routes: [testRoute()] }));
    let arrivals = 0;
    const address = await rawBackend((socket) => {
      arrivals += 1;
      socket.end(UNFRAMED_HEAD);
    });
    harness.list([backend.record({ address })]);
    expect(await harness.call({ id: 'a', method: 'HEAD' })).toMatchObject({
      status: 200,
      body: '',
    });
    expect(arrivals).toBe(1);
  });

  it('gives no success for an answer that was cut off within its head', async () => {
    const head = UNFRAMED_HEAD.replace('\r\n\r\n', '\r\nContent-Length: 5\r\n\r\n');
    for (let length = 0; length < head.length; length++) {
      const address = await rawBackend((socket) => socket.end(head.slice(0, length)));
      harness.list([backend.record({ address, revision: length + 2 })]);
      expect((await harness.call({ id: 'a' })).status).toBe(502);
    }
  });

  it('does not forward an answer to another request', async () => {
    backend.handle = (_request, response) => {
      response.writeHead(200, { signed: 'yes', 'request-id': 'other' });
      response.end('crossed');
    };
    const answer = await harness.call({ id: 'a' });
    expect(answer.status).toBe(502);
    expect(answer.headers['x-ran']).toBe('unknown');
  });

  it('retries a refused request at another backend, whatever its repeatability', async () => {
    const other = new TestBackend('two', answerWhole);
    await other.start();
    backend.handle = (_request, response) => {
      response.writeHead(503, { 'not-run': '1' });
      response.end();
    };
    harness.list([backend.record(), other.record({ zone: 'b' })]);
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
    expect(backend.arrivals).toEqual(['a']);
    other.stop();
  });

  it('does not report a request as not run when a backend has received it and no other is available', async () => {
    harness.configure(testConfiguration({ version: 2, routes: [testRoute()] }));
    const refusal = { type: 'refuse', retryAfterMs: 100 } as const;
    Object.assign(harness.gateway['context'], {
      hold: { decide: () => refusal, recordWait: () => undefined },
    });
    backend.handle = (request) => {
      harness.list([{ ...backend.record({ revision: 2 }), leaving: true }]);
      request.socket.destroy();
    };
    const answer = await harness.call({ id: 'a' });
    expect(backend.arrivals).toEqual(['a']);
    expect(answer.status).toBe(502);
    expect(answer.headers['x-ran']).toBe('unknown');
  });

  it('does not retry a request that may have run and may run only once', async () => {
    const other = new TestBackend('two', answerWhole);
    await other.start();
    backend.handle = (request) => request.socket.destroy();
    harness.list([backend.record(), other.record({ zone: 'b' })]);
    const answer = await harness.call({ id: 'a' });
    expect(answer.status).toBe(502);
    expect(other.arrivals).toEqual([]);
    other.stop();
  });

  it('resumes a stream at another backend after its last complete event', async () => {
    harness.configure(
      testConfiguration({
        version: 2,
        routes: [testRoute({ repeatability: 'resumable_stream' })],
      }),
    );
    const other = new TestBackend('two', (request, response, body) => {
      expect(request.headers['last-event-id']).toBe('3');
      answerEvents(4, 6, 5)(request, response, body);
    });
    await other.start();
    backend.handle = (request, response, body) => {
      const breakOff = (): void => {
        response.write('id: 4\nda');
        request.socket.destroy();
      };
      answerEvents(1, 50, 20, { after: 3, with: breakOff })(request, response, body);
    };
    harness.list([backend.record(), other.record({ zone: 'b' })]);
    const answer = await harness.call({ id: 'a' });
    const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map((match) => match[1]);
    expect(ids).toEqual(['1', '2', '3', '4', '5', '6']);
    expect(answer.complete).toBe(true);
    other.stop();
  });

  it('resumes a stream again if its second answer may have been cut off after its head', async () => {
    const route = testRoute({ repeatability: 'resumable_stream', maxAttempts: 3 });
    harness.configure(testConfiguration({ version: 2, routes: [route] }));
    const order: string[] = [];
    backend.handle = (request, response, body) => {
      order.push('first');
      const breakOff = { after: 2, with: () => request.socket.destroy() };
      answerEvents(1, 5, 5, breakOff)(request, response, body);
    };
    const address = await rawBackend((socket) => {
      order.push('head only');
      socket.end(UNFRAMED_HEAD.replace('\r\n\r\n', '\r\nContent-Type: text/event-stream\r\n\r\n'));
    });
    const last = new TestBackend('last', answerEvents(3, 5, 5));
    await last.start();
    const softwareVersion = 'v1';
    harness.list([backend.record({ softwareVersion })]);
    const running = harness.call({ id: 'a' });
    await pause(8);
    harness.list([
      backend.record({ softwareVersion }),
      { ...backend.record({ softwareVersion }), id: 'cutting', address },
      last.record({ softwareVersion, zone: 'b' }),
    ]);
    const answer = await running;
    expect(order).toEqual(['first', 'head only']);
    expect(answer.complete).toBe(true);
    expect(answer.body.match(/^id: \d+$/gm)).toEqual([1, 2, 3, 4, 5].map((id) => `id: ${id}`));
    last.stop();
  });

  it('ends a stream that cannot be resumed so that the caller sees it as incomplete', async () => {
    harness.configure(
      testConfiguration({ version: 2, routes: [testRoute({ repeatability: 'stream_once' })] }),
    );
    backend.handle = (request, response, body) => {
      answerEvents(1, 50, 10)(request, response, body);
      setTimeout(() => request.socket.destroy(), 55);
    };
    const answer = await harness.call({ id: 'a' });
    expect(answer.complete).toBe(false);
  });

  it('closes the connection to the backend when the caller disconnects', async () => {
    let closed = false;
    backend.handle = (_request, response) => response.on('close', () => (closed = true));
    const request = harness.request({ id: 'a' }, () => {});
    request.on('error', () => {});
    await pause(80);
    request.destroy();
    await pause(80);
    expect(closed).toBe(true);
  });

  it('refuses oversized heads, oversized bodies and unknown routes with their status codes', async () => {
    const large = { 'x-large': 'x'.repeat(3_000) };
    expect((await harness.call({ id: 'a', headers: large })).status).toBe(431);
    expect((await harness.call({ id: 'b', body: 'x'.repeat(20_000) })).status).toBe(413);
    expect((await harness.call({ id: 'c', path: '/none/' })).status).toBe(404);
    expect(backend.arrivals).toEqual([]);
  });

  describe('that arrive late', () => {
    const LATE_MS = 1_000;
    const answerLate = (...[request, response]: Parameters<typeof answerWhole>): void => {
      setTimeout(() => answerWhole(request, response), LATE_MS);
    };

    beforeEach(() => {
      harness.configure(testConfiguration({ version: 2 }));
      backend.handle = answerLate;
    });

    it('are waited for if no other backend can take the request', async () => {
      const answer = await harness.call({ id: 'a' });
      expect(answer).toMatchObject({ status: 200, body: 'done a' });
      expect(backend.arrivals).toEqual(['a']);
    });

    it('are not waited for if another backend is free', async () => {
      const other = new TestBackend('two');
      await other.start();
      harness.list([backend.record(), other.record({ zone: 'b' })]);
      const answer = await harness.call({ id: 'a' });
      other.stop();
      expect(answer).toMatchObject({ status: 200, body: 'done a' });
      expect([backend.arrivals, other.arrivals]).toEqual([['a'], ['a']]);
    });
  });
});

describe('before any configuration is known', () => {
  it('refuses as not run with 503 instead of reporting an unknown route', async () => {
    const harness = await GatewayHarness.start();
    const answer = await harness.call({ id: 'a' });
    expect(answer.status).toBe(503);
    expect(answer.headers['x-ran']).toBe('no');
    harness.stop();
  });
});
