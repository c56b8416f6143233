import http from 'node:http';
import { gzipSync } from 'node:zlib';
import { describe, expect, it } from 'vitest';
import { StoreDirectory } from '../../platform/directory.js';
import { ObjectStore } from '../../platform/object-store.js';
import { listen } from '../../src/common/http-server.js';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';

/** A directory whose store never answers. */
function silentDirectory(): { directory: StoreDirectory; versions: number[] } {
  const never = (): Promise<never> => new Promise(() => {});
  const store = { list: never, watch: never } as unknown as ObjectStore;
  const directory = new StoreDirectory(store, silentLogger);
  const versions: number[] = [];
  directory.start({
    onConfiguration: ({ version }) => versions.push(version),
    onBackends: () => {},
    onConfirmed: () => {},
  });
  return { directory, versions };
}

function documentOf(version: number): Uint8Array {
  return gzipSync(JSON.stringify({ version, routes: [], services: [] }));
}

describe('documents of configurations', () => {
  it('pass from daemon to daemon while the store is silent', () => {
    const first = silentDirectory();
    const second = silentDirectory();
    expect(first.directory.configurationDocument()).toBeUndefined();
    expect(first.directory.takeConfigurationDocument(documentOf(3))).toBe(true);
    const document = first.directory.configurationDocument() ?? new Uint8Array();
    expect(second.directory.takeConfigurationDocument(document)).toBe(true);
    expect(second.versions).toEqual([3]);
  });

  it('never bring an older configuration', () => {
    const { directory, versions } = silentDirectory();
    expect(directory.takeConfigurationDocument(documentOf(3))).toBe(true);
    expect(directory.takeConfigurationDocument(documentOf(2))).toBe(false);
    expect(directory.takeConfigurationDocument(documentOf(3))).toBe(false);
    expect(versions).toEqual([3]);
  });

  it('are dropped when they are cut or are not JSON', () => {
    const { directory, versions } = silentDirectory();
    expect(directory.takeConfigurationDocument(documentOf(3).subarray(0, 20))).toBe(false);
    expect(directory.takeConfigurationDocument(gzipSync('{"version":'))).toBe(false);
    expect(directory.takeConfigurationDocument(new Uint8Array())).toBe(false);
    expect(versions).toEqual([]);
  });
});

describe('a close reader of backends', () => {
  it('asks again within the 2 s in which a leaving backend must be known, when an answer is lost', async () => {
    const watchedAt: number[] = [];
    const server = http.createServer((request, response) => {
      const isWatch = request.url?.includes('watch=') === true;
      if (isWatch && request.url?.includes('/servers') === true) watchedAt.push(performance.now());
      // The connection stays open, and says nothing more.
      if (!isWatch) response.end(JSON.stringify({ items: [], at: 5 }));
    });
    const port = await listen(server, '127.0.0.1', 0);
    const store = new ObjectStore(`127.0.0.1:${port}`, new GatewayMetrics(), silentLogger);
    const directory = new StoreDirectory(store, silentLogger);
    directory.start({ onConfiguration: () => {}, onBackends: () => {}, onConfirmed: () => {} });
    await sleep(2_600);
    const [first = 0, second = Infinity] = watchedAt;
    expect(second - first).toBeLessThan(1_950);
    directory.stop();
    store.close();
    server.close();
    server.closeAllConnections();
  });
});
