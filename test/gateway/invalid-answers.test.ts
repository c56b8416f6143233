/**
 * Guards against answers that end a whole gateway: one spoiled byte in the answer to one request closed the
 * connections of all callers.
 */
import net from 'node:net';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerEvents,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type CallerView,
} from './gateway-harness.js';

const ROUTES = [
  testRoute({ name: 'once', pathPrefix: '/once/', repeatability: 'once', maxAttempts: 1 }),
  testRoute({ name: 'stream', pathPrefix: '/stream/', repeatability: 'resumable_stream' }),
];

const RUNS = 100;

/** A backend that answers each request with given bytes. */
class RawBackend extends TestBackend {
  private readonly sockets = net.createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.on('data', (bytes) => {
      const id = /^request-id: (\S+)/im.exec(bytes.toString())?.[1] ?? '';
      socket.write(this.answer(id), 'latin1');
    });
  });
  /** Returns the bytes of the answer to the request with an id. */
  answer = (id: string): string => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\n\r\n`;

  override async start(): Promise<void> {
    await new Promise<void>((resolve) => this.sockets.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${(this.sockets.address() as net.AddressInfo).port}`;
  }

  override stop(): void {
    this.sockets.close();
  }
}

/** The bytes of a signed answer with a status line as given. */
function signedAnswer(status: string, id: string): string {
  return `HTTP/1.1 ${status} X\r\nsigned: yes\r\nrequest-id: ${id}\r\ncontent-length: 2\r\n\r\nok`;
}

describe('an answer that HTTP does not allow', () => {
  const raw = new RawBackend('raw');
  let harness: GatewayHarness;

  beforeEach(async () => {
    await raw.start();
    harness = await GatewayHarness.start();
    harness.configure(testConfiguration({ routes: ROUTES }));
    harness.list([raw.record()]);
  });
  afterEach(() => {
    harness.stop();
    raw.stop();
  });

  it.each(['000', '001', '099', '600', '999'])(
    'ends its own request only, with a status of %s',
    async (status) => {
      raw.answer = (id) => signedAnswer(id === 'spoiled' ? status : '200', id);
      const [spoiled, ...others] = await Promise.all([
        harness.call({ id: 'spoiled', path: '/once/x' }),
        ...['a', 'b', 'c'].map((id) => harness.call({ id, path: '/once/x' })),
      ]);
      expect(spoiled).toMatchObject({ status: 502, headers: { 'x-ran': 'unknown' } });
      expect(others.map((answer) => answer.status)).toEqual([200, 200, 200]);
      const failed = harness.lines.filter(({ event }) => event === 'attempt_failed');
      expect(failed).toMatchObject([
        { fields: { request: 'spoiled', ran: 'unknown', reached: true } },
      ]);
      expect(failed[0]?.fields.reason).toBe(`the answer has the invalid status ${Number(status)}`);
    },
  );

  it('keeps its connection for a bounded time, whatever the backend allows', async () => {
    const hint = `keep-alive: timeout=${'9'.repeat(400)}`;
    raw.answer = (id) =>
      `HTTP/1.1 200 X\r\nsigned: yes\r\nrequest-id: ${id}\r\n${hint}\r\ncontent-length: 2\r\n\r\nok`;
    for (const id of ['a', 'b']) {
      expect((await harness.call({ id, path: '/once/x' })).status).toBe(200);
      await pause(20);
    }
    expect(harness.hasIdleConnection(raw.address)).toBe(true);
  });

  it('teaches nothing about limits and backoffs', async () => {
    raw.answer = (id) =>
      `HTTP/1.1 099 X\r\nrequest-id: ${id}\r\nleaving: 1\r\nrate-limit: 0\r\nnot-run: 1\r\n\r\n`;
    expect((await harness.call({ id: 'spoiled', path: '/once/x' })).status).toBe(502);
    raw.answer = (id) => signedAnswer('200', id);
    expect((await harness.call({ id: 'next', path: '/once/x' })).status).toBe(200);
  });

  it('ends no gateway, whatever its status, headers and body', async () => {
    const statuses = fc.integer({ min: 0, max: 999 }).map((code) => String(code).padStart(3, '0'));
    const bytes = fc
      .array(fc.integer({ min: 0, max: 255 }), { maxLength: 40 })
      .map((codes) => Buffer.from(codes).toString('latin1'));
    const name = fc.constantFrom('signed', 'x', 'leaving', 'rate-limit', 'connection', 'trailer');
    const headers = fc.array(fc.tuple(name, bytes), { maxLength: 3 });
    const ids = fc.option(bytes, { nil: undefined });
    await fc.assert(
      fc.asyncProperty(statuses, headers, ids, bytes, async (status, fields, event, body) => {
        raw.answer = (id) => {
          const lines = fields.map(([field, value]) => `${field}: ${value}\r\n`).join('');
          const head = `HTTP/1.1 ${status} X\r\nsigned: y\r\nrequest-id: ${id}\r\n${lines}\r\n`;
          const start = event === undefined ? '' : `id: ${event}\ndata: x\n\n`;
          return `${head}${start}${body}`;
        };
        // Otherwise the gateway would soon send nothing to a backend that fails so often.
        harness.context().health.clear();
        const calls = ['/once/x', '/stream/x'].map((path) => {
          return harness.call({ id: 'any', path, headers: { deadline: '90' } });
        });
        for (const answer of await Promise.all(calls.map(ignoreReset))) {
          expect(answer?.status ?? 200).toBeGreaterThanOrEqual(200);
        }
        expect(harness.lines.filter(({ event: name }) => name.endsWith('_fault'))).toEqual([]);
      }),
      { numRuns: RUNS, seed: 71 },
    );
    const sent = harness.lines.filter(({ event }) => event === 'sent');
    expect(sent.length).toBeGreaterThan(RUNS);
  });
});

/** Resolves with undefined if the connection closes before an answer. */
async function ignoreReset(answer: Promise<CallerView>): Promise<CallerView | undefined> {
  return answer.catch(() => undefined);
}

describe('a stream that another backend goes on with', () => {
  const first = new TestBackend('first');
  const second = new TestBackend('second');
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.startWithBackends([first, second]);
    harness.configure(testConfiguration({ version: 2, routes: ROUTES }));
    // The gateway prefers the backend in its own zone.
    harness.list([first.record(), second.record({ zone: 'b' })]);
    first.handle = (request, response, body) => {
      const breakOff = (): void => void request.socket.destroy();
      answerEvents(1, 50, 10, { after: 3, with: breakOff })(request, response, body);
    };
  });
  afterEach(() => {
    harness.stop();
    first.stop();
    second.stop();
  });

  it.each([400, 413, 422, 499])(
    'is cut, and its gateway serves on, if that backend answers with a signed %i',
    async (status) => {
      second.handle = (request, response) => {
        response.writeHead(status, {
          signed: 'yes',
          'request-id': String(request.headers['request-id']),
        });
        response.end('no');
      };
      const cut = await harness.call({ id: 'cut', path: '/stream/x' });
      expect(cut).toMatchObject({ status: 200, complete: false });
      expect(cut.body).toBe('id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n');
      const failed = harness.lines.filter(({ event }) => event === 'attempt_failed');
      expect(failed[1]?.fields).toMatchObject({ reason: `answered with status ${status}` });
      first.handle = answerEvents(1, 2, 5);
      expect((await harness.call({ id: 'next', path: '/stream/x' })).complete).toBe(true);
    },
  );

  it('goes on after the last event whose id can be sent in a header', async () => {
    first.handle = (request, response) => {
      response.writeHead(200, {
        signed: 'yes',
        'request-id': String(request.headers['request-id']),
      });
      response.write('id: 1\ndata: 1\n\n');
      response.write('id: 2\u0001\ndata: 2\n\nid: 3\ndata: 3\n\n');
    };
    let resumedAfter: string | undefined;
    second.handle = (request, response, body) => {
      resumedAfter = String(request.headers['last-event-id']);
      answerEvents(2, 4, 5)(request, response, body);
    };
    const whole = await harness.call({ id: 'whole', path: '/stream/x' });
    expect(resumedAfter).toBe('1');
    expect([...whole.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id)).toEqual([
      '1',
      '2',
      '3',
      '4',
    ]);
    expect(whole.complete).toBe(true);
  });
});
