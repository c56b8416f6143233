import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { steadyNow } from '../../src/gateway/steady-clock.js';
import {
  answerEvents,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type BackendHandler,
} from './gateway-harness.js';

const answerLate: BackendHandler = (request, response) => {
  setTimeout(() => {
    const id = String(request.headers['request-id']);
    response.writeHead(200, { signed: 'yes', 'request-id': id });
    response.end('late');
  }, 700);
};

describe('a gateway that believes to reach no backend, and has no relay', () => {
  let harness: GatewayHarness;
  let backends: TestBackend[];

  beforeEach(async () => {
    backends = ['one', 'two'].map((id) => new TestBackend(id));
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

  /** Makes the gateway conclude that it reaches no backend; its next probe, or the next byte, shows the opposite. */
  function partition(): void {
    const { backendWatch } = harness.context();
    const { reachability } = backendWatch;
    reachability.probesDue = () => [];
    for (const { address } of backends) reachability.recordConnectionFailure(address, steadyNow());
    expect(reachability.isPartitioned).toBe(true);
    backendWatch.tick();
  }

  it('waits for the answer of a plain request that is at its backend', async () => {
    for (const backend of backends) backend.handle = answerLate;
    const answer = harness.call({ id: 'a', path: '/p/x' });
    await pause(150);
    partition();
    expect(await answer).toMatchObject({ status: 200, body: 'late' });
  });

  it('does not end a stream whose backend still sends', async () => {
    for (const backend of backends) backend.handle = answerEvents(1, 20, 40);
    const answer = harness.call({ id: 'a', path: '/s/x' });
    await pause(250);
    partition();
    expect((await answer).complete).toBe(true);
    expect(backends.flatMap(({ arrivals }) => arrivals)).toHaveLength(1);
  });
});
