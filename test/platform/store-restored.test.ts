/*
 * The store came back from a copy some seconds old. Daemons dropped each list as older than what they held, so a change that was
 * acknowledged after that was in force only once the counter of revisions had passed the old one, and a drain was never heard of.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { StoreDirectory } from '../../platform/directory.js';
import { ObjectStore } from '../../platform/object-store.js';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import { BackendDirectory } from '../../src/core/backend-directory.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import type { DirectoryAttention } from '../../src/gateway/ports.js';
import { ObjectStoreStandIn } from '../soak/object-store-stand-in.js';
import { SeededRandom } from '../soak/seeded-random.js';
import { serverEntry } from './server-entries.js';

/** What was acknowledged is known at all daemons so long after. */
const KNOWN_WITHIN_MS = 2_000;
/** Written after the copy, and lost. */
const LOST_WRITES = 40;
const AWAY_MS = 300;
/** A watch that hears nothing has reached the newest revision by then. */
const WATCH_ENDS_MS = 1_200;

/** What the store does with the places of watches from before. */
const PLACES = ['answers 410', 'has passed them again'] as const;

describe('a store that comes back from a copy', () => {
  const cleanUps: (() => void)[] = [];

  afterEach(() => {
    for (const cleanUp of cleanUps.splice(0)) cleanUp();
  });

  async function scene(attention: DirectoryAttention): Promise<{
    store: ObjectStoreStandIn;
    directory: StoreDirectory;
    backends: BackendDirectory;
    /** Versions that were proved current. */
    confirmed: number[];
    version: () => number;
  }> {
    const store = new ObjectStoreStandIn(new SeededRandom(1));
    const address = await store.listenFor('reader');
    store.put('config', 'main', { version: 50 });
    store.put('servers', 'r1', serverEntry());
    store.put('servers', 'r2', serverEntry());
    const client = new ObjectStore(address, new GatewayMetrics(), silentLogger);
    const directory = new StoreDirectory(client, silentLogger);
    const backends = new BackendDirectory();
    let version = 0;
    const confirmed: number[] = [];
    directory.start({
      onConfiguration: (configuration) => (version = configuration.version),
      onBackends: (list) => void backends.setBackends(list, performance.now()),
      onConfirmed: (seen) => confirmed.push(seen),
    });
    directory.setAttention(attention);
    cleanUps.push(() => {
      directory.stop();
      client.close();
      store.stop();
    });
    await sleep(300);
    expect(backends.servingBackends('service').length).toBe(2);
    return { store, directory, backends, confirmed, version: () => version };
  }

  /** Loses what is written after a copy, and is away for a moment. */
  async function loseWrites(
    store: ObjectStoreStandIn,
    places: (typeof PLACES)[number],
    { lost = () => {}, written = () => {} }: { lost?: () => void; written?: () => void },
  ): Promise<void> {
    const copy = store.copy();
    lost();
    for (let write = 0; write < LOST_WRITES; write++) store.put('other', 'x', { write });
    await sleep(WATCH_ENDS_MS);
    store.condition = 'reset';
    await sleep(AWAY_MS);
    store.restore(copy);
    written();
    if (places === 'has passed them again') {
      for (let write = 0; write < 2 * LOST_WRITES; write++) store.put('other', 'y', { write });
    }
  }

  function writeBoth(store: ObjectStoreStandIn): void {
    store.put('config', 'main', { version: 53 });
    store.put('servers', 'r1', serverEntry({ state: 'draining' }));
  }

  it('proves no configuration current before what it has lost can have been written again', async () => {
    const { store, directory, confirmed } = await scene('close');
    await directory.confirmConfiguration();
    expect(confirmed).toEqual([50]);
    await loseWrites(store, 'answers 410', {});
    store.condition = 'sound';
    for (let call = 0; call < 10; call++) {
      await sleep(100);
      await directory.confirmConfiguration();
    }
    expect(confirmed).toEqual([50]);
    await sleep(KNOWN_WITHIN_MS);
    await directory.confirmConfiguration();
    expect(confirmed).toEqual([50, 50]);
  });

  async function until(isSo: () => boolean): Promise<number> {
    const begun = performance.now();
    while (!isSo() && performance.now() - begun < 3 * KNOWN_WITHIN_MS) await sleep(20);
    return performance.now() - begun;
  }

  it('is heard again at once: the next configuration and the next drain are known in time', async () => {
    for (const places of PLACES) {
      const { store, backends, version } = await scene('close');
      await loseWrites(store, places, { written: () => writeBoth(store) });
      store.condition = 'sound';
      const servingIds = (): string =>
        backends
          .servingBackends('service')
          .map(({ id }) => id)
          .join();
      const knownAfterMs = await until(() => version() === 53 && servingIds() === 'r2');
      expect(knownAfterMs, places).toBeLessThan(KNOWN_WITHIN_MS);
    }
  }, 20_000);

  it.each(PLACES)(
    'and %s takes no configuration and no drain back that was acknowledged before',
    async (places) => {
      const { store, backends, version } = await scene('close');
      await loseWrites(store, places, { lost: () => writeBoth(store) });
      store.condition = 'sound';
      await sleep(KNOWN_WITHIN_MS);
      expect(version()).toBe(53);
      expect(backends.servingBackends('service').map(({ id }) => id)).toEqual(['r2']);
    },
  );
});
