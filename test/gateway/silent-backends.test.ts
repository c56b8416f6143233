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

const SILENCE_MS = 1_000;

/** Answers with ten events, and is silent for a time in the middle. */
const pauseInStream: BackendHandler = (request, response) => {
  answerEvents(1, 10, 20, { after: 5, with: () => {} })(request, response, '');
  setTimeout(() => {
    for (let event = 6; event <= 10; event++) response.write(`id: ${event}\ndata: ${event}\n\n`);
    response.end();
  }, SILENCE_MS);
};

const answerLate: BackendHandler = (request, response) => {
  setTimeout(() => {
    const id = String(request.headers['request-id']);
    response.writeHead(200, { signed: 'yes', 'request-id': id });
    response.end('late');
  }, SILENCE_MS);
};

describe('a silent backend, without a retry budget', () => {
  let harness: GatewayHarness;
  let backends: TestBackend[];

  beforeEach(async () => {
    backends = ['one', 'two'].map((id) => new TestBackend(id));
    for (const backend of backends) await backend.start();
    const { bounds } = (await GatewayHarness.prepare()).settings;
    harness = await GatewayHarness.start({ bounds: { ...bounds, retryRatio: 0, retrySlack: 0 } });
    harness.configure(
      testConfiguration({
        routes: [
          testRoute({ name: 'stream', pathPrefix: '/s/', repeatability: 'resumable_stream' }),
          testRoute({ name: 'plain', pathPrefix: '/p/', repeatability: 'repeatable' }),
        ],
      }),
    );
    harness.list(backends.map((backend) => backend.record()));
  });

  afterEach(() => {
    harness.stop();
    for (const backend of backends) backend.stop();
  });

  function handle(handler: BackendHandler): void {
    for (const backend of backends) backend.handle = handler;
  }

  function countEvents(name: string): number {
    return harness.lines.filter(({ event }) => event === name).length;
  }

  it('is waited for in the middle of a stream, whose caller already has a part', async () => {
    handle(pauseInStream);
    const answer = await harness.call({ id: 'a', path: '/s/x' });
    expect(answer.complete).toBe(true);
    expect(answer.body).toContain('id: 10\n');
  });

  it('is waited for before a plain answer', async () => {
    handle(answerLate);
    const answer = await harness.call({ id: 'a', path: '/p/x' });
    expect(answer).toMatchObject({ status: 200, body: 'late' });
  });

  it('is reported once, not at each check', async () => {
    handle(answerLate);
    await harness.call({ id: 'a', path: '/p/x' });
    expect(countEvents('retry_denied')).toBe(1);
    expect(countEvents('backend_awaited')).toBe(1);
  });

  it('keeps its stream although no other path is found in a partition', async () => {
    handle(pauseInStream);
    const answer = harness.call({ id: 'a', path: '/s/x' });
    await pause(200);
    for (const exchange of [...harness.context().exchanges]) exchange.partitioned();
    expect((await answer).complete).toBe(true);
  });
});
