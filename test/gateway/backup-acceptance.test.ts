/** Guards against conclusions from a backup that rest on less than they need, and against one that is not drawn. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type BackendHandler,
} from './gateway-harness.js';

/** Time for which the first backend is silent, longer than the timeout of the route. */
const SILENCE_MS = 1_200;
/** Time for which a backup's backend is silent, shortly before the backup would count as accepted. */
const SHORT_SILENCE_MS = 275;
/** Time that it then takes to refuse the request. */
const REFUSAL_MS = 40;
/** Time for which the first backend works on the request after it has gone on. */
const FIRST_WORK_MS = 400;
/** Time for which a backup's backend is silent that goes on about when the first one does. */
const SECOND_SILENCE_MS = 700;
/** Time for which a third backend works on the request: longer than two backends may, shorter than the rest of the deadline. */
const THIRD_WORK_MS = 1_000;
/** Size of a body that does not fit into the buffers of a connection. */
const LONG_BODY_BYTES = 20e6;
/** Time after which a backend reads a long body. */
const SLOW_READER_MS = 500;
/** Time for which two backends may work on one request. */
const MAX_TWO_RUNS_MS = 400;

const refuse: BackendHandler = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};

describe('a backup', () => {
  let harness: GatewayHarness;
  let backends: TestBackend[];

  beforeEach(async () => {
    backends = ['one', 'two', 'three'].map((id) => new TestBackend(id));
    harness = await GatewayHarness.startWithBackends(backends);
  });

  afterEach(() => {
    vi.restoreAllMocks();
    harness.stop();
    for (const backend of backends) backend.stop();
  });

  /** The arrivals of requests are handled in this order, all further ones by the last handler. */
  function handle(...handlers: ((backend: TestBackend) => BackendHandler)[]): void {
    let arrivals = 0;
    for (const backend of backends) {
      backend.handle = (...passed) => {
        const handler = handlers[Math.min(arrivals, handlers.length - 1)];
        arrivals += 1;
        handler?.(backend)(...passed);
      };
    }
  }

  /** The process of a backend stops when a request arrives, and handles it some time after it goes on. */
  function stopFor(stoppedMs: number, workMs: number, handler: BackendHandler) {
    return (backend: TestBackend): BackendHandler =>
      (...passed) => {
        backend.stoppedUntil = performance.now() + stoppedMs;
        setTimeout(() => handler(...passed), stoppedMs + workMs);
      };
  }

  it('at a backend that is silent as well lets other requests avoid that backend', async () => {
    const recorded = vi.spyOn(harness.context().health, 'recordNoResponse');
    handle(stopFor(SILENCE_MS, 0, answerWhole));
    const call = harness.call({ id: 'a' });
    await pause(SILENCE_MS - 50);
    expect(new Set(recorded.mock.calls.map(([backend]) => backend)).size).toBe(2);
    expect(await call).toMatchObject({ status: 200, body: 'done a' });
    expect(recorded).toHaveBeenCalledTimes(2);
  });

  it('that is refused once its backend goes on, shortly before it counts as accepted, leaves the answer to the first attempt', async () => {
    handle(
      stopFor(SILENCE_MS, 0, answerWhole),
      stopFor(SHORT_SILENCE_MS, REFUSAL_MS, refuse),
      () => refuse,
    );
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
  });

  it('that is not refused then replaces the first attempt within the time for two runs', async () => {
    let begunAt = 0;
    let closedAt = 0;
    handle(
      () => (request) => request.socket.on('close', () => (closedAt = performance.now())),
      (backend) =>
        (...passed) => {
          begunAt = performance.now();
          stopFor(SHORT_SILENCE_MS, SILENCE_MS, answerWhole)(backend)(...passed);
        },
    );
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
    expect(closedAt - begunAt).toBeGreaterThan(0);
    expect(closedAt - begunAt).toBeLessThan(MAX_TWO_RUNS_MS);
  });

  it('for which a third backend is tried is not given up if that one refuses the request', async () => {
    harness.configure(testConfiguration({ version: 2, routes: [testRoute({ maxAttempts: 3 })] }));
    handle(stopFor(SILENCE_MS, 0, refuse), stopFor(SILENCE_MS, 0, answerWhole), () => refuse);
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
  });

  it('for which a third backend is tried gives its answer if that one is silent as well', async () => {
    harness.configure(testConfiguration({ version: 2, routes: [testRoute({ maxAttempts: 3 })] }));
    handle(
      stopFor(2 * SILENCE_MS, 0, answerWhole),
      stopFor(SECOND_SILENCE_MS, FIRST_WORK_MS, answerWhole),
      stopFor(2 * SILENCE_MS, 0, answerWhole),
    );
    const answer = await harness.call({ id: 'a', headers: { deadline: '2000' } });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
    expect(backends.flatMap(({ arrivals }) => arrivals)).toHaveLength(3);
  });

  it('for which a third backend is tried ends within the time for two runs if both work on the request', async () => {
    harness.configure(testConfiguration({ version: 2, routes: [testRoute({ maxAttempts: 3 })] }));
    let closedAt = Infinity;
    let goesOnAt = 0;
    handle(
      stopFor(2 * SILENCE_MS, 0, answerWhole),
      (backend) =>
        (...passed) => {
          passed[0].socket.on('close', () => (closedAt = performance.now()));
          goesOnAt = performance.now() + SECOND_SILENCE_MS;
          stopFor(SECOND_SILENCE_MS, SILENCE_MS, answerWhole)(backend)(...passed);
        },
      () => (request, response) =>
        void setTimeout(() => answerWhole(request, response), THIRD_WORK_MS),
    );
    const answer = await harness.call({ id: 'a', headers: { deadline: '2000' } });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
    expect(closedAt - goesOnAt).toBeGreaterThan(0);
    expect(closedAt - goesOnAt).toBeLessThan(MAX_TWO_RUNS_MS);
  });

  it('whose backend goes on does not replace a first attempt whose backend goes on as well', async () => {
    handle(
      stopFor(SILENCE_MS, FIRST_WORK_MS, answerWhole),
      stopFor(SECOND_SILENCE_MS, SILENCE_MS, answerWhole),
    );
    const answer = await harness.call({ id: 'a', headers: { deadline: '2000' } });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
  });
});

describe('a backup with a long body', () => {
  let harness: GatewayHarness;
  let backends: TestBackend[];

  beforeEach(async () => {
    backends = ['one', 'two', 'three'].map((id) => new TestBackend(id));
    harness = await GatewayHarness.startWithBackends(backends);
    const limits = { ...testConfiguration().limits, bodyBytes: LONG_BODY_BYTES };
    harness.configure(testConfiguration({ version: 2, limits }));
  });

  afterEach(() => {
    harness.stop();
    for (const backend of backends) backend.stop();
  });

  it('counts as accepted only once its backend has read the body', async () => {
    let arrivals = 0;
    for (const { server } of backends) {
      const [handle] = server.listeners('request') as [BackendHandler];
      server.removeAllListeners('request');
      server.on('request', (request, response) => {
        if (request.headers['request-id'] === undefined) return handle(request, response, '');
        response.setHeader('request-id', 'a');
        arrivals += 1;
        const isFirst = arrivals === 1;
        request.once('end', () => {
          if (isFirst) setTimeout(() => answerWhole(request, response), SILENCE_MS);
          else refuse(request, response, '');
        });
        setTimeout(() => request.resume(), isFirst ? 0 : SLOW_READER_MS);
      });
    }
    const body = 'x'.repeat(LONG_BODY_BYTES);
    const answer = await harness.call({ id: 'a', method: 'POST', body });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
  });
});
