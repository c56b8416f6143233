/**
 * Guards against a configuration that is applied too late after an outage of the store. Daemons with close
 * attention answered requests on a new route with 404 more than 2 s after the store had acknowledged its version.
 *
 * A daemon sends a configuration watch while the store does not reply. The store returns and acknowledges a
 * newer version, but the connection of that watch stays dead, so only the next watch returns the version.
 *
 * The watch waited 4 s and was detected as dead 4.7 s after it was sent, while a configuration must be in force
 * 2 s after its acknowledgement. The log of such a daemon shows this (version 49 was acknowledged at 35.081 s; a
 * peer announced it in time):
 *
 *     28.722 event=store_lost kind=config reason="no answer in 4700 ms"
 *     35.217 event=store_regained kind=servers
 *     38.561 event=store_regained kind=config
 */
import http from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { StoreDirectory } from '../../platform/directory.js';
import { ObjectStore } from '../../platform/object-store.js';
import { listen } from '../../src/common/http-server.js';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import { ObjectStoreStandIn } from '../soak/object-store-stand-in.js';
import { SeededRandom } from '../soak/seeded-random.js';

/** Time after the acknowledgement within which all daemons apply a configuration. */
const IN_FORCE_MS = 2_000;
/** Part of that time reserved for announcing the version to other daemons. */
const ANNOUNCEMENT_MS = 150;
const OUTAGE_BEGINS_MS = 100;
/** Ends of the outage, chosen to fall into different phases of the reader's calls. */
const OUTAGE_ENDS_MS = [3_200, 3_500, 3_800, 4_100, 4_400, 4_700, 5_000];

const cleanUps: (() => void)[] = [];

function follow(address: string): { inForceAt: Map<number, number> } {
  const store = new ObjectStore(address, new GatewayMetrics(), silentLogger);
  const directory = new StoreDirectory(store, silentLogger);
  const inForceAt = new Map<number, number>();
  directory.start({
    onConfiguration: ({ version }) => inForceAt.set(version, performance.now()),
    onBackends: () => {},
    onConfirmed: () => {},
  });
  directory.setReadMode('close');
  cleanUps.push(() => {
    directory.stop();
    store.close();
  });
  return { inForceAt };
}

/** Milliseconds from an acknowledgement directly after an outage until the reader applies the version. */
async function delayAfterOutage(outageEndsMs: number): Promise<number> {
  const store = new ObjectStoreStandIn(new SeededRandom(1));
  const address = await store.listenFor('reader');
  cleanUps.push(() => store.stop());
  store.put('config', 'main', { version: 1 });
  const { inForceAt } = follow(address);
  await sleep(OUTAGE_BEGINS_MS);
  expect([...inForceAt.keys()]).toEqual([1]);
  store.condition = 'silent';
  await sleep(outageEndsMs - OUTAGE_BEGINS_MS);
  store.condition = 'sound';
  store.put('config', 'main', { version: 2 });
  const acknowledgedAt = performance.now();
  await sleep(IN_FORCE_MS);
  return (inForceAt.get(2) ?? Infinity) - acknowledgedAt;
}

describe('a directory with close attention to the configuration', () => {
  afterEach(() => {
    for (const cleanUp of cleanUps.splice(0)) cleanUp();
  });

  it('applies in time a version acknowledged directly after an outage of the store', async () => {
    const delays = await Promise.all(OUTAGE_ENDS_MS.map(delayAfterOutage));
    expect(Math.max(...delays)).toBeLessThan(IN_FORCE_MS - ANNOUNCEMENT_MS);
  });

  it('sends the next watch in time when a connection dies while the store works', async () => {
    const watchedAt: number[] = [];
    const server = http.createServer((request, response) => {
      const isWatch = request.url?.includes('watch=') === true;
      if (isWatch && request.url?.includes('/config') === true) watchedAt.push(performance.now());
      // The connection of a watch stays open without a reply.
      if (!isWatch) response.end(JSON.stringify({ items: [], at: 5 }));
    });
    const port = await listen(server, '127.0.0.1', 0);
    cleanUps.push(() => {
      server.close();
      server.closeAllConnections();
    });
    follow(`127.0.0.1:${port}`);
    await sleep(IN_FORCE_MS + 300);
    const [first = 0, second = Infinity] = watchedAt;
    expect(second - first).toBeLessThan(IN_FORCE_MS - ANNOUNCEMENT_MS);
  });
});
