/**
 * Guards against ejecting a healthy backend, and resending its stream elsewhere, because a caller reads its
 * answer slowly or because the backend reads a long request body slowly. The daemon did not read from the
 * backend while the caller's socket was full, but its stall timeout kept running; and the time to send a body
 * counted towards the first-byte timeout.
 */
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type BackendHandler,
} from './gateway-harness.js';

/**
 * All events together are far larger than the kernel's buffers for a connection whose other end does not read.
 */
const EVENT_BYTES = 128 * 1024;
const EVENTS = 120;
/** Daemon memory that is sufficient to buffer all events, and memory that is not. */
const AMPLE_MEGABYTES = 1_400;
const SCARCE_MEGABYTES = 200;
const PADDING = 'x'.repeat(EVENT_BYTES);

/** Time without reading after the daemon has read the whole answer. */
const UNREAD_MS = 800;
/** Bound on the processor time of backend, daemon and caller until the daemon has read the whole answer. */
const MAX_PROCESSOR_MS = 1_000;

/** Answers with `count` large events, one every `gapMs` milliseconds. */
function answerLargeEvents(count: number, gapMs: number): BackendHandler {
  return (request, response) => {
    const id = String(request.headers['request-id'] ?? '');
    const head = { signed: 'yes', 'request-id': id, 'content-type': 'text/event-stream' };
    response.writeHead(200, head);
    let event = 1;
    const timer = setInterval(() => {
      response.write(`id: ${event}\ndata: ${PADDING}\n\n`);
      event += 1;
      if (event <= count) return;
      clearInterval(timer);
      response.end();
    }, gapMs);
    response.on('close', () => clearInterval(timer));
  };
}

/** A caller that reads nothing until `read` is called. */
class SlowCaller {
  readonly ids: string[] = [];
  complete: boolean | undefined;
  readonly ended: Promise<void>;
  private resume = (): void => {};

  constructor(harness: GatewayHarness, id: string) {
    let end = (): void => {};
    this.ended = new Promise((resolve) => (end = resolve));
    const request = harness.request({ id, headers: { deadline: '5000' } }, (response) => {
      response.pause();
      this.resume = () => response.resume();
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
      response.on('error', () => {});
      response.on('close', () => {
        this.ids.push(...[...text.matchAll(/^id: (\d+)$/gm)].map((match) => match[1] ?? ''));
        this.complete = response.complete;
        end();
      });
      // Attaching a data listener starts the flow, so the answer is paused again.
      response.pause();
    });
    request.on('error', end);
  }

  read(): Promise<void> {
    this.resume();
    return this.ended;
  }
}

describe('slow ends', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  let other: TestBackend;

  async function start(memoryMegabytes: number): Promise<void> {
    backend = new TestBackend('one');
    other = new TestBackend('two');
    await backend.start();
    await other.start();
    harness = await GatewayHarness.start({ memoryMegabytes });
    const routes = [testRoute({ repeatability: 'resumable_stream', goalMs: 1_000 })];
    harness.configure(testConfiguration({ routes }));
    harness.list([backend.record(), other.record({ zone: 'b' })]);
  }

  beforeEach(() => start(AMPLE_MEGABYTES));

  afterEach(stop);

  function stop(): void {
    harness.stop();
    backend.stop();
    other.stop();
  }

  function lines(event: string): unknown[] {
    return harness.lines.filter((line) => line.event === event);
  }

  async function requestEnd(): Promise<void> {
    while (lines('request_ended').length === 0) await pause(5);
  }

  it('of a caller: its stream is read on and sent once, and its backend keeps its good name', async () => {
    backend.handle = answerLargeEvents(EVENTS, 5);
    const before = process.cpuUsage();
    const caller = new SlowCaller(harness, 'a');
    const unread = pause(1_800);
    await requestEnd();
    const used = process.cpuUsage(before);
    await Promise.all([unread, pause(UNREAD_MS)]);
    // The daemon ends a request once it has read the answer. If it read on only as the caller reads, the deadline would
    // end the request. The time until then is no measure, because the backend shares its processor with other processes.
    const fields = { request: 'a', end: 'served', sends: 1 };
    expect(lines('request_ended')).toMatchObject([{ fields }]);
    expect((used.user + used.system) / 1_000).toBeLessThan(MAX_PROCESSOR_MS);
    expect(harness.context().answers.heldBytes).toBeGreaterThan(EVENT_BYTES);
    expect(harness.context().health.failureShare('one')).toBe(0);
    await caller.read();
    expect(caller.complete).toBe(true);
    expect(caller.ids).toEqual(Array.from({ length: EVENTS }, (_, index) => String(index + 1)));
    expect([backend.arrivals, other.arrivals]).toEqual([['a'], []]);
  });

  it('of a caller beyond the room for one answer: the caller is broken off, not the backend blamed', async () => {
    stop();
    await start(SCARCE_MEGABYTES);
    backend.handle = answerLargeEvents(400, 5);
    const caller = new SlowCaller(harness, 'a');
    await pause(2_800);
    expect(lines('caller_too_slow')).toMatchObject([
      { fields: { request: 'a', reason: 'request_room' } },
    ]);
    expect(harness.context().health.failureShare('one')).toBe(0);
    expect(harness.context().exchanges.size).toBe(0);
    expect(harness.context().answers.heldBytes).toBe(0);
    await caller.read();
    expect(caller.complete).toBe(false);
    expect([backend.arrivals, other.arrivals]).toEqual([['a'], []]);
  });

  it('of a caller that reads on in time: a large answer comes whole', async () => {
    backend.handle = answerLargeEvents(EVENTS, 1);
    const caller = new SlowCaller(harness, 'a');
    await pause(300);
    await caller.read();
    expect(caller.complete).toBe(true);
    expect(caller.ids).toHaveLength(EVENTS);
    expect(lines('caller_too_slow')).toEqual([]);
  });

  it('of a caller when the daemon stops: what it has not read yet still comes', async () => {
    backend.handle = answerLargeEvents(EVENTS, 5);
    const caller = new SlowCaller(harness, 'a');
    await pause(300);
    const drained = harness.gateway.drain();
    await pause(2_800);
    await caller.read();
    await drained;
    expect(caller.complete).toBe(true);
    expect(caller.ids).toHaveLength(EVENTS);
  });

  it('of a backend that takes a body: it is not silent while it does', async () => {
    const bodyBytes = 12_000_000;
    const routes = [testRoute({ goalMs: 200 })];
    const limits = { ...testConfiguration().limits, bodyBytes: 2 * bodyBytes };
    harness.configure(testConfiguration({ version: 2, routes, limits }));
    const server = net.createServer((socket) => readSlowly(socket, bodyBytes));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    harness.list([backend.record({ address: `127.0.0.1:${port}` }), other.record({ zone: 'b' })]);
    const answer = await harness.call({ id: 'a', body: 'x'.repeat(bodyBytes) });
    server.close();
    expect(answer).toMatchObject({ status: 200, body: 'slow' });
    expect(other.arrivals).toEqual([]);
    expect(harness.context().health.failureShare('one')).toBe(0);
    expect(harness.context().answers.heldBytes).toBe(0);
  });
});

/** Reads a request over more than a second, then answers it. */
function readSlowly(socket: net.Socket, bytes: number): void {
  let receivedBytes = 0;
  socket.on('error', () => socket.destroy());
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes >= bytes) {
      const head = 'HTTP/1.1 200 OK\r\nsigned: yes\r\nrequest-id: a\r\ncontent-length: 4\r\n\r\n';
      socket.end(`${head}slow`);
      return;
    }
    socket.pause();
    setTimeout(() => socket.resume(), 7);
  });
}
