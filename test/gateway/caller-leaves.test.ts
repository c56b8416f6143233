import type http from 'node:http';
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerEvents,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type BackendHandler,
} from './gateway-harness.js';

/** Time after a caller's disconnect by which its request must not run at or reach a backend any more. */
const STOPPED_WITHIN_MS = 450;

describe('when a caller disconnects', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  /** Number of requests that run at backends. */
  let running: number;

  beforeEach(async () => {
    running = 0;
    backend = new TestBackend('one');
    await backend.start();
    harness = await GatewayHarness.start();
    const stream = testRoute({ repeatability: 'resumable_stream', goalMs: 4_000 });
    harness.configure(testConfiguration({ routes: [stream] }));
    harness.list([backend.record()]);
  });

  afterEach(() => {
    harness.stop();
    backend.stop();
  });

  function countRunning(handle: BackendHandler): BackendHandler {
    return (request, response, body) => {
      running += 1;
      response.on('close', () => (running -= 1));
      handle(request, response, body);
    };
  }

  async function expectNothingRunning(): Promise<void> {
    await pause(STOPPED_WITHIN_MS);
    expect(running).toBe(0);
    expect(harness.gateway['context'].exchanges.size).toBe(0);
    expect(harness.gateway['context'].tracker.inFlightAt('one')).toBe(0);
  }

  function call(onAnswer: (answer: http.IncomingMessage) => void = () => {}): http.ClientRequest {
    const request = harness.request({ id: 'a' }, onAnswer);
    request.on('error', () => {});
    return request;
  }

  it('while it sends its request, nothing is sent to a backend', async () => {
    const [host = '', port = '0'] = harness.settings.callers.split(':');
    const socket = net.connect(Number(port), host);
    const head = ['POST /work/x HTTP/1.1', 'Host: service.test', 'Content-Length: 100', '', 'part'];
    socket.write(head.join('\r\n'));
    await pause(50);
    socket.destroy();
    await expectNothingRunning();
    expect(backend.arrivals).toEqual([]);
  });

  it('while its request waits, nothing is sent to a backend later', async () => {
    harness.list([backend.record({ leaving: true })]);
    const request = call();
    await pause(30);
    request.destroy();
    await pause(30);
    harness.list([backend.record()]);
    await expectNothingRunning();
    expect(backend.arrivals).toEqual([]);
  });

  it('before its answer begins, its request is stopped at the backend', async () => {
    backend.handle = countRunning(() => {});
    const request = call();
    await pause(60);
    expect(running).toBe(1);
    request.destroy();
    await expectNothingRunning();
  });

  it('during a stream, its request is stopped at the backend', async () => {
    backend.handle = countRunning(answerEvents(1, 500, 10));
    const request = call((answer) => answer.resume());
    await pause(100);
    request.destroy();
    await expectNothingRunning();
  });

  it('after not reading its stream, its request is stopped at the backend', async () => {
    const event = `id: 1\ndata: ${'x'.repeat(60_000)}\n\n`;
    backend.handle = countRunning((request, response) => {
      const id = String(request.headers['request-id']);
      const head = { signed: 'yes', 'request-id': id, 'content-type': 'text/event-stream' };
      response.writeHead(200, head);
      const timer = setInterval(() => response.write(event), 1);
      response.on('close', () => clearInterval(timer));
    });
    const request = call((answer) => answer.pause());
    await pause(400);
    expect(running).toBe(1);
    request.destroy();
    await expectNothingRunning();
  });

  it('after its stream resumed at another backend, its request is stopped there', async () => {
    const second = new TestBackend('two', countRunning(answerEvents(4, 500, 10)));
    await second.start();
    backend.handle = (request, response, body) => {
      answerEvents(1, 500, 10)(request, response, body);
      harness.list([second.record()]);
      setTimeout(() => request.socket.destroy(), 35);
    };
    const request = call((answer) => answer.resume());
    await pause(250);
    expect(running).toBe(1);
    request.destroy();
    await expectNothingRunning();
    second.stop();
  });
});
