/** Guards against requests that are lost to a backup whose backend refuses it late. */
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

/** Time for which the first backend passes nothing on, longer than the timeouts of the routes. */
const SILENCE_MS = 1_600;
/** Time that a backend takes to refuse a request: longer than a backup needs to count as accepted. */
const REFUSAL_MS = 430;
/** Time from the arrival of a stream until its backup has been refused. */
const REFUSED_MS = 1_400;
const EVENTS_BEFORE_SILENCE = 5;
const LAST_EVENT = 10;

const refuse: BackendHandler = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};

const refuseLate: BackendHandler = (...exchange) => {
  setTimeout(() => refuse(...exchange), REFUSAL_MS);
};

function eventsFrom(first: number, last: number): string {
  let text = '';
  for (let event = first; event <= last; event++) text += `id: ${event}\ndata: ${event}\n\n`;
  return text;
}

/** Begins a stream and says nothing more. */
const beginStream: BackendHandler = (_, response) => {
  response.writeHead(200, { signed: 'yes', 'content-type': 'text/event-stream' });
  response.write(eventsFrom(1, EVENTS_BEFORE_SILENCE));
};

/** Answers with the rest of a stream. */
const resumeStream: BackendHandler = (request, response) => {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  response.writeHead(200, { signed: 'yes', 'content-type': 'text/event-stream' });
  response.end(eventsFrom(first, LAST_EVENT));
};

describe('a request whose backup is refused late', () => {
  let harness: GatewayHarness;
  let backends: TestBackend[];

  beforeEach(async () => {
    backends = ['one', 'two', 'three'].map((id) => new TestBackend(id));
    harness = await GatewayHarness.startWithBackends(backends);
    harness.configure(
      testConfiguration({
        version: 2,
        routes: [
          testRoute({ name: 'stream', pathPrefix: '/s/', repeatability: 'resumable_stream' }),
          testRoute({ name: 'plain', pathPrefix: '/p/', repeatability: 'repeatable' }),
        ],
      }),
    );
  });

  afterEach(() => {
    vi.restoreAllMocks();
    harness.stop();
    for (const backend of backends) backend.stop();
  });

  /** The arrivals of the request are handled in this order, all further ones by the last handler. */
  function handle(...handlers: ((backend: TestBackend) => BackendHandler)[]): void {
    let arrivals = 0;
    for (const backend of backends) {
      backend.handle = (...exchange) => {
        const handler = handlers[Math.min(arrivals, handlers.length - 1)];
        arrivals += 1;
        handler?.(backend)(...exchange);
      };
    }
  }

  /** The process of a backend stops when the request has begun there, and goes on with it after a time. */
  function stopAfter(begin: BackendHandler, goOn: BackendHandler) {
    return (backend: TestBackend): BackendHandler =>
      (...exchange) => {
        begin(...exchange);
        backend.stoppedUntil = performance.now() + SILENCE_MS;
        setTimeout(() => goOn(...exchange), SILENCE_MS);
      };
  }

  const finishStream: BackendHandler = (_, response) =>
    void response.end(eventsFrom(EVENTS_BEFORE_SILENCE + 1, LAST_EVENT));

  /** The service's retry budget grants some retries, then none until it is refilled. */
  function limitRetries(retries: number): { refill: () => void } {
    let left = retries;
    const budget = harness.context().budgetOf('service');
    vi.spyOn(budget, 'takeRetry').mockImplementation(() => left-- > 0);
    return { refill: () => (left = 1) };
  }

  it('completes its stream at its first backend, which was stopped for a time', async () => {
    handle(stopAfter(beginStream, finishStream), () => refuseLate);
    const answer = await harness.call({ id: 'a', path: '/s/x' });
    expect(answer.body).toBe(eventsFrom(1, LAST_EVENT));
    expect(answer.complete).toBe(true);
  });

  it('gets its answer from its first backend, which was stopped for a time', async () => {
    handle(
      stopAfter(() => {}, answerWhole),
      () => refuseLate,
    );
    const answer = await harness.call({ id: 'a', path: '/p/x' });
    expect(answer).toMatchObject({ status: 200, body: 'done a' });
  });

  it('resumes its stream once the retry budget allows it, if its first connection is silent for good', async () => {
    const { refill } = limitRetries(1);
    handle(
      () => beginStream,
      () => refuseLate,
      () => resumeStream,
    );
    const answering = harness.call({ id: 'a', path: '/s/x' });
    await pause(REFUSED_MS);
    refill();
    const answer = await answering;
    expect(answer.body).toBe(eventsFrom(1, LAST_EVENT));
    expect(answer.complete).toBe(true);
  });

  it('resumes its stream at a backend that has room after others refused it', async () => {
    handle(
      () => beginStream,
      () => refuseLate,
      () => refuse,
      () => refuse,
      () => refuse,
      () => resumeStream,
    );
    const answer = await harness.call({ id: 'a', path: '/s/x' });
    expect(answer.body).toBe(eventsFrom(1, LAST_EVENT));
    expect(answer.complete).toBe(true);
  });

  it('resumes its stream at a backend that has room again, if its first backend does not come back', async () => {
    const roomAt = performance.now() + SILENCE_MS;
    handle(
      stopAfter(beginStream, () => {}),
      () =>
        (...exchange) => {
          if (performance.now() < roomAt) refuse(...exchange);
          else resumeStream(...exchange);
        },
    );
    const answer = await harness.call({ id: 'a', path: '/s/x' });
    expect(answer.body).toBe(eventsFrom(1, LAST_EVENT));
    expect(answer.complete).toBe(true);
  });
});
