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

const BACKENDS = ['one', 'two', 'three', 'four', 'five'];
/** Refusals after which the next send is the last that a request may have. */
const REFUSALS = 3;
const SILENCE_MS = 1_000;
/** Backups of a begun stream in the time that its backend is silent: at the untried backend, and at one more before the backoff. */
const MAX_BACKUPS = 2;

const refuse: BackendHandler = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};

const answerLate: BackendHandler = (_, response) => {
  setTimeout(() => response.writeHead(200, { signed: 'yes' }).end('late'), SILENCE_MS);
};

/** Answers with ten events, and is silent for a time in the middle. */
const pauseInStream: BackendHandler = (request, response) => {
  answerEvents(1, 10, 20, { after: 5, with: () => {} })(request, response, '');
  setTimeout(() => {
    for (let event = 6; event <= 10; event++) response.write(`id: ${event}\ndata: ${event}\n\n`);
    response.end();
  }, SILENCE_MS);
};

describe('the last send that a request may have', () => {
  let harness: GatewayHarness;
  let backends: TestBackend[];

  beforeEach(async () => {
    backends = BACKENDS.map((id) => new TestBackend(id));
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
    harness.stop();
    for (const backend of backends) backend.stop();
  });

  /** One send is handled by `handler`, all before and after it are refused. */
  function handleLast(handler: BackendHandler): void {
    let sends = 0;
    for (const backend of backends) {
      backend.handle = (request, response, body) => {
        sends += 1;
        (sends === REFUSALS + 1 ? handler : refuse)(request, response, body);
      };
    }
  }

  function arrivals(): number {
    return backends.flatMap((backend) => backend.arrivals).length;
  }

  it('is waited for before a plain answer', async () => {
    handleLast(answerLate);
    const answer = await harness.call({ id: 'a', path: '/p/x' });
    expect(arrivals()).toBe(REFUSALS + 1);
    expect(answer).toMatchObject({ status: 200, body: 'late' });
  });

  it('is waited for in the middle of a stream, whose caller already has a part', async () => {
    handleLast(pauseInStream);
    const answer = await harness.call({ id: 'a', path: '/s/x' });
    expect(arrivals()).toBeLessThanOrEqual(REFUSALS + 1 + MAX_BACKUPS);
    const silent = harness.lines.filter(({ fields }) => String(fields.reason).startsWith('silent'));
    expect(silent).toEqual([]);
    expect(answer.complete).toBe(true);
  });

  it('is waited for in a partition', async () => {
    handleLast(pauseInStream);
    const answer = harness.call({ id: 'a', path: '/s/x' });
    await pause(300);
    for (const exchange of [...harness.context().exchanges]) exchange.partitioned();
    expect((await answer).complete).toBe(true);
  });
});
