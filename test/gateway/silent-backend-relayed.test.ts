/** Guards against requests that are lost because a silence of all backends is taken for a partition, and other daemons cannot relay either. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { steadyNow } from '../../src/gateway/steady-clock.js';
import {
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type BackendHandler,
} from './gateway-harness.js';

const SILENCE_MS = 1_000;
/** Time after which a relayed request is refused: longer than it needs to count as accepted, shorter than two relayed runs may last. */
const REFUSAL_MS = 1_100;
/** Time for which the first backend works on a request that is refused that late. */
const LONG_SILENCE_MS = 1_600;
/** Time after which the daemon concludes that it reaches no backend. */
const PARTITION_AFTER_MS = 300;

const answerLate: BackendHandler = (request, response) => {
  setTimeout(() => answerWhole(request, response), SILENCE_MS);
};

const refuseLate: BackendHandler = (_, response) => {
  setTimeout(() => response.writeHead(503, { 'not-run': '1' }).end(), SILENCE_MS);
};

describe('a silent backend that its daemon no longer reaches', () => {
  let cut: GatewayHarness;
  let sound: GatewayHarness;
  let backends: TestBackend[];

  beforeEach(async () => {
    backends = ['one', 'two'].map((id) => new TestBackend(id));
    for (const backend of backends) await backend.start();
    sound = await GatewayHarness.start({ name: 'sound' });
    cut = await GatewayHarness.start({ name: 'cut', seeds: [] });
    cut.joinGroupOf(sound);
    const areJoined = (): boolean => cut.liveMembers() === 2 && sound.liveMembers() === 2;
    for (let check = 0; check < 250 && !areJoined(); check++) await pause(20);
    expect(areJoined()).toBe(true);
    for (const gateway of [cut, sound]) {
      gateway.configure(
        testConfiguration({
          version: 2,
          routes: [testRoute({ pathPrefix: '/p/', repeatability: 'repeatable' })],
        }),
      );
      gateway.list(backends.map((backend) => backend.record()));
    }
  });

  afterEach(() => {
    cut.stop();
    sound.stop();
    for (const backend of backends) backend.stop();
  });

  /** The first arrival of a request is handled by `first`, the later ones, which are relayed, by `relayed`. */
  function handle(first: BackendHandler, relayed: BackendHandler): void {
    let arrivals = 0;
    for (const backend of backends) {
      backend.handle = (request, response, body) => {
        arrivals += 1;
        (arrivals === 1 ? first : relayed)(request, response, body);
      };
    }
  }

  /** Makes the daemon conclude that it reaches no backend. */
  function partition(): void {
    const { backendWatch } = cut.context();
    const { reachability } = backendWatch;
    reachability.probesDue = () => [];
    for (const { address } of backends) reachability.recordConnectionFailure(address, steadyNow());
    expect(reachability.isPartitioned).toBe(true);
    backendWatch.tick();
  }

  /** Sends a request; its daemon is partitioned while it is at its backend. */
  function callAndPartition(): ReturnType<GatewayHarness['call']> {
    setTimeout(partition, PARTITION_AFTER_MS);
    return cut.call({ id: 'a', path: '/p/x' });
  }

  it('still gives its answer if the request is refused later where it was relayed to', async () => {
    handle(answerLate, refuseLate);
    const answer = callAndPartition();
    expect(await answer).toMatchObject({ status: 200, body: 'done a' });
    expect(backends.flatMap(({ arrivals }) => arrivals)).toHaveLength(2);
  });

  it('still gives its answer if the relayed request is refused after it counts as accepted', async () => {
    handle(
      (request, response) => void setTimeout(() => answerWhole(request, response), LONG_SILENCE_MS),
      (_, response) => {
        setTimeout(() => response.writeHead(503, { 'not-run': '1' }).end(), REFUSAL_MS);
      },
    );
    const answer = callAndPartition();
    expect(await answer).toMatchObject({ status: 200, body: 'done a' });
  });

  it('still gives its answer if it is reached again, and no other backend works on the request then', async () => {
    let leftAt = 0;
    handle(answerLate, (request) => request.socket.on('close', () => (leftAt = steadyNow())));
    const answer = callAndPartition();
    await pause(PARTITION_AFTER_MS + 350);
    const reachedAt = steadyNow();
    for (const { address } of backends) {
      cut.context().backendWatch.reachability.recordConnected(address, reachedAt);
    }
    await pause(250);
    expect(leftAt).toBeGreaterThan(reachedAt);
    expect(await answer).toMatchObject({ status: 200, body: 'done a' });
  });

  it('is left once the relayed request is answered', async () => {
    handle(
      () => {},
      (request, response) => {
        setTimeout(() => answerWhole(request, response), 500);
      },
    );
    const answer = callAndPartition();
    expect(await answer).toMatchObject({ status: 200, body: 'done a' });
  });
});
