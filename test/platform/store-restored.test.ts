/*
 * Guards against lost changes after the store is restored from a backup some seconds old. Daemons dropped each list as older than
 * their copy. A change acknowledged after the restore was applied only once the revision counter had passed its old value, and a
 * drain was never detected.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { StoreDirectory } from '../../platform/directory.js';
import { ObjectStore } from '../../platform/object-store.js';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import { BackendDirectory } from '../../src/core/backend-directory.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import type { DirectoryReadMode } from '../../src/gateway/ports.js';
import { ObjectStoreStandIn } from '../soak/object-store-stand-in.js';
import { SeededRandom } from '../soak/seeded-random.js';
import { serverEntry } from './server-entries.js';

/** Time after an acknowledgement within which all daemons know the change. */
const KNOWN_WITHIN_MS = 2_000;
/** Number of writes after the backup, which the restore loses. */
const LOST_WRITES = 40;
const OUTAGE_MS = 300;
/** Time after which a watch without changes has reached the newest revision. */
const WATCH_ENDS_MS = 1_200;

/** How the store handles the revisions of watches from before the restore. */
const REVISION_HANDLINGS = ['answers 410', 'has passed them again'] as const;

describe('a store that is restored from a backup', () => {
  const cleanUps: (() => void)[] = [];

  afterEach(() => {
    for (const cleanUp of cleanUps.splice(0)) cleanUp();
  });

  async function startScenario(attention: DirectoryReadMode): Promise<{
    store: ObjectStoreStandIn;
    directory: StoreDirectory;
    backends: BackendDirectory;
    /** Versions confirmed as current. */
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
    directory.setReadMode(attention);
    cleanUps.push(() => {
      directory.stop();
      client.close();
      store.stop();
    });
    await sleep(300);
    expect(backends.servingBackends('service').length).toBe(2);
    return { store, directory, backends, confirmed, version: () => version };
  }

  /** Makes a backup, writes after it, and restores it after a short outage. */
  async function loseWrites(
    store: ObjectStoreStandIn,
    handling: (typeof REVISION_HANDLINGS)[number],
    { lost = () => {}, written = () => {} }: { lost?: () => void; written?: () => void },
  ): Promise<void> {
    const copy = store.copy();
    lost();
    for (let write = 0; write < LOST_WRITES; write++) store.put('other', 'x', { write });
    await sleep(WATCH_ENDS_MS);
    store.condition = 'reset';
    await sleep(OUTAGE_MS);
    store.restore(copy);
    written();
    if (handling === 'has passed them again') {
      for (let write = 0; write < 2 * LOST_WRITES; write++) store.put('other', 'y', { write });
    }
  }

  function writeBoth(store: ObjectStoreStandIn): void {
    store.put('config', 'main', { version: 53 });
    store.put('servers', 'r1', serverEntry({ state: 'draining' }));
  }

  it('confirms no configuration before the lost writes can have been repeated', async () => {
    const { store, directory, confirmed } = await startScenario('close');
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

  async function until(isDone: () => boolean): Promise<number> {
    const startedAt = performance.now();
    while (!isDone() && performance.now() - startedAt < 3 * KNOWN_WITHIN_MS) await sleep(20);
    return performance.now() - startedAt;
  }

  it('delivers the next configuration and the next drain in time', async () => {
    for (const handling of REVISION_HANDLINGS) {
      const { store, backends, version } = await startScenario('close');
      await loseWrites(store, handling, { written: () => writeBoth(store) });
      store.condition = 'sound';
      const servingIds = (): string =>
        backends
          .servingBackends('service')
          .map(({ id }) => id)
          .join();
      const knownAfterMs = await until(() => version() === 53 && servingIds() === 'r2');
      expect(knownAfterMs, handling).toBeLessThan(KNOWN_WITHIN_MS);
    }
  }, 20_000);

  it.each(REVISION_HANDLINGS)(
    'and %s reverts no configuration and no drain acknowledged before',
    async (handling) => {
      const { store, backends, version } = await startScenario('close');
      await loseWrites(store, handling, { lost: () => writeBoth(store) });
      store.condition = 'sound';
      await sleep(KNOWN_WITHIN_MS);
      expect(version()).toBe(53);
      expect(backends.servingBackends('service').map(({ id }) => id)).toEqual(['r2']);
    },
  );
});
