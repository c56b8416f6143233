import { afterEach, describe, expect, it } from 'vitest';
import { relayAddressOf } from '../../src/gateway/relay-protocol.js';
import {
  answerEvents,
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';
import { PIECE, RawCaller } from './raw-caller.js';
import { blockFor, SeparateBackend } from './separate-backend.js';
import { SeparateCaller } from './separate-caller.js';

/** A moment after which a stop refuses new requests and ends as soon as no work is left. */
const AFTER_BALANCER_DELAY_MS = 2_600;

describe('a planned stop', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  const callers: RawCaller[] = [];
  const separate: { stop(): Promise<void> }[] = [];

  async function start(stopSeconds = 8): Promise<void> {
    backend = new TestBackend('one');
    await backend.start();
    const { bounds } = (await GatewayHarness.prepare()).settings;
    harness = await GatewayHarness.start({ bounds: { ...bounds, stopSeconds } });
    const route = testRoute({ repeatability: 'resumable_stream', timeoutMs: 9_000 });
    const once = testRoute({ name: 'once', pathPrefix: '/once/', repeatability: 'once' });
    harness.configure(testConfiguration({ routes: [route, once] }));
    harness.list([backend.record()]);
  }

  function call(): RawCaller {
    const caller = new RawCaller(harness.settings.callers);
    callers.push(caller);
    return caller;
  }

  function lineOf(name: string): Readonly<Record<string, unknown>> | undefined {
    return harness.lines.find(({ event }) => event === name)?.fields;
  }

  afterEach(async () => {
    for (const caller of callers.splice(0)) caller.close();
    harness.stop();
    backend.stop();
    await Promise.all(separate.splice(0).map((each) => each.stop()));
  });

  it('answers a request whose body is complete only after all others have ended', async () => {
    await start();
    backend.handle = answerEvents(1, 2, 10);
    const caller = call();
    caller.writeHead('a', 2, 4_000);
    caller.write(PIECE);
    await pause(50);
    const stopped = harness.gateway.drain();
    await pause(AFTER_BALANCER_DELAY_MS);
    caller.write(PIECE);
    await caller.answered();
    expect(caller.status).toBe(200);
    await stopped;
    expect(lineOf('stopped')).toMatchObject({ interrupted: 0, receiving: 0 });
  });

  it('refuses a request whose body took so long that it might not end within the stop', async () => {
    await start();
    const caller = call();
    caller.writeHead('a', 2, 9_000);
    caller.write(PIECE);
    await pause(50);
    const stopped = harness.gateway.drain();
    await pause(AFTER_BALANCER_DELAY_MS);
    caller.write(PIECE);
    await caller.answered();
    expect(caller.status).toBe(503);
    expect(caller.received).toContain('X-Ran: no');
    expect(backend.arrivals).toEqual([]);
    await stopped;
  });

  it('answers a request whose head is complete only after all others have ended', async () => {
    await start();
    const caller = call();
    caller.write('POST /work/x HTTP/1.1\r\nhost: service.test\r\n');
    await pause(50);
    const stopped = harness.gateway.drain();
    await pause(AFTER_BALANCER_DELAY_MS);
    caller.write('request-id: a\r\ncontent-length: 0\r\n\r\n');
    await caller.answered();
    expect(caller.status).toBe(503);
    await stopped;
  });

  it('does not wait for a connection without a request', async () => {
    await start();
    const silent = call();
    const stopped = harness.gateway.drain();
    await stopped;
    await pause(50);
    expect(silent.closedBy).toBeDefined();
    expect(lineOf('stopped')?.milliseconds).toBeLessThan(AFTER_BALANCER_DELAY_MS);
  });

  it('sends no request that is complete after the time for the stop is over', async () => {
    await start(5);
    backend.handle = answerEvents(1, 1_000, 20);
    const running = harness.call({ id: 'long', headers: { deadline: '9000' } });
    const caller = call();
    caller.writeHead('late', 2, 100);
    caller.write(PIECE);
    await pause(50);
    const stopped = harness.gateway.drain();
    expect((await running).complete).toBe(false);
    caller.write(PIECE);
    await stopped;
    await pause(50);
    expect(backend.arrivals).toEqual(['long']);
    expect(lineOf('stopped')).toMatchObject({ interrupted: 1 });
  });

  it('ends in time although the store does not answer, and refuses what waits then', async () => {
    await start(5);
    const { store } = (harness.gateway as unknown as { systems: { store: object } }).systems;
    Object.assign(store, { remove: () => new Promise<void>(() => {}) });
    harness.list([]);
    const waiting = harness.call({ id: 'a', headers: { deadline: '9000' } });
    await pause(50);
    const startedAt = performance.now();
    await harness.gateway.drain();
    expect(performance.now() - startedAt).toBeLessThan(5_000);
    expect((await waiting).status).toBe(503);
  });

  it('refuses a request that its backend refused and that waits when the time is over: it has not run', async () => {
    await start(3);
    backend.handle = (_, response) => {
      harness.list([]);
      response.writeHead(503, { 'not-run': '1' }).end();
    };
    const stopped = harness.gateway.drain();
    await pause(2_200);
    const answer = await harness.call({ id: 'a', headers: { deadline: '9000' } });
    await stopped;
    expect(lineOf('stopped')).toMatchObject({ interrupted: 1 });
    expect(backend.arrivals).toEqual(['a']);
    expect(answer.status).toBe(503);
    expect(answer.headers['x-ran']).toBe('no');
  });

  it('answers a request on a connection that was accepted in the turn of its last check', async () => {
    await start();
    const caller = await SeparateCaller.start(harness.settings.callers);
    separate.push(caller);
    const stopped = harness.gateway.drain();
    await pause(2_200);
    const received = caller.call(100);
    // The last check becomes due while this process is paused, and the connection comes then.
    await blockFor(300);
    expect(await received).toContain('X-Ran: no');
    await stopped;
  });

  it('answers a request of another daemon on a connection that was accepted in the turn of its last check', async () => {
    await start();
    const peer = await SeparateCaller.start(relayAddressOf(harness.peerAddress));
    separate.push(peer);
    const stopped = harness.gateway.drain();
    await pause(2_200);
    const received = peer.call(100);
    await blockFor(300);
    expect(await received).toContain('HTTP/1.1 503');
    await stopped;
  });

  it('runs no request that was read after an answer has ended its connection', async () => {
    await start();
    const caller = call();
    const head = 'POST /work/x HTTP/1.1\r\nhost: service.test\r\ncontent-length: 0\r\n';
    backend.handle = (request, response) => {
      // Both arrive within one turn, the answer before the request.
      answerWhole(request, response);
      caller.write(`${head}request-id: late\r\n\r\n`);
    };
    void harness.gateway.drain();
    caller.write(`${head}request-id: first\r\n\r\n`);
    await caller.answered();
    await pause(100);
    expect(caller.received).toContain('Connection: close');
    expect(backend.arrivals).toEqual(['first']);
  });

  it('answers a request that comes while the process is paused between the end of the time and that of the process', async () => {
    await start(5);
    backend.handle = answerEvents(1, 1_000, 20);
    const caller = await SeparateCaller.start(harness.settings.callers);
    separate.push(caller);
    const running = harness.call({ id: 'long', headers: { deadline: '9000' } });
    await pause(50);
    const stopped = harness.gateway.drain();
    await running;
    const received = caller.call(30);
    await blockFor(200);
    expect(await received).toContain('X-Ran: no');
    await stopped;
  });

  it('delivers what came from a backend before the time was over, although the process was paused then', async () => {
    await start(5);
    const backendThread = await SeparateBackend.start('thread', { events: 40, gapMs: 105 });
    separate.push(backendThread);
    harness.list([backendThread.record()]);
    const answer = harness.call({ id: 'a', headers: { deadline: '9000' } });
    await pause(50);
    const stopped = harness.gateway.drain();
    await pause(3_700);
    await blockFor(1_100);
    expect((await answer).complete).toBe(true);
    await stopped;
  });

  it('counts the time for the stop from the signal, not from when a paused process handles it', async () => {
    await start(6);
    backend.handle = answerEvents(1, 1_000, 20);
    const running = harness.call({ id: 'long', headers: { deadline: '9000' } });
    await pause(200);
    const signalAt = performance.now();
    await blockFor(1_500);
    await pause(0);
    await harness.gateway.drain();
    expect(performance.now() - signalAt).toBeLessThan(6_000);
    expect((await running).complete).toBe(false);
  });
});
