import http from 'node:http';
import { gzipSync } from 'node:zlib';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from '../../platform/configuration.js';
import { StoreDirectory } from '../../platform/directory.js';
import { ObjectStore, type StoreObject, type WatchOptions } from '../../platform/object-store.js';
import { listen } from '../../src/common/http-server.js';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';

/** A directory whose store never replies. */
function startUnconnectedDirectory(): { directory: StoreDirectory; versions: number[] } {
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

describe('configuration documents', () => {
  it('pass from daemon to daemon while the store does not reply', () => {
    const first = startUnconnectedDirectory();
    const second = startUnconnectedDirectory();
    expect(first.directory.configurationDocument()).toBeUndefined();
    expect(first.directory.applyConfigurationDocument(documentOf(3))).toBe(true);
    const document = first.directory.configurationDocument() ?? new Uint8Array();
    expect(second.directory.applyConfigurationDocument(document)).toBe(true);
    expect(second.versions).toEqual([3]);
  });

  it('never replace a configuration with an older one', () => {
    const { directory, versions } = startUnconnectedDirectory();
    expect(directory.applyConfigurationDocument(documentOf(3))).toBe(true);
    expect(directory.applyConfigurationDocument(documentOf(2))).toBe(false);
    expect(directory.applyConfigurationDocument(documentOf(3))).toBe(false);
    expect(versions).toEqual([3]);
  });

  it('are rejected if they are truncated or not JSON', () => {
    const { directory, versions } = startUnconnectedDirectory();
    expect(directory.applyConfigurationDocument(documentOf(3).subarray(0, 20))).toBe(false);
    expect(directory.applyConfigurationDocument(gzipSync('{"version":'))).toBe(false);
    expect(directory.applyConfigurationDocument(new Uint8Array())).toBe(false);
    expect(versions).toEqual([]);
  });
});

describe('a directory with close attention to backends', () => {
  it('sends the next watch after a lost reply within the 2 s in which a leaving backend must be known', async () => {
    const watchedAt: number[] = [];
    const server = http.createServer((request, response) => {
      const isWatch = request.url?.includes('watch=') === true;
      if (isWatch && request.url?.includes('/servers') === true) watchedAt.push(performance.now());
      // The connection stays open without a reply.
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

describe('a directory whose watches wait', () => {
  /** Replies to watches that do not wait, and to those of configurations only while it is told to. */
  function startDirectory(): {
    directory: StoreDirectory;
    versions: number[];
    configure: (...versions: number[]) => void;
    suspend: () => void;
  } {
    let configurations: StoreObject[] = [];
    let isSuspended = false;
    const configure = (...added: number[]): void => {
      const objectOf = (version: number): StoreObject => {
        const spec = { version, routes: [], services: [] };
        return { name: CONFIGURATION_NAME, revision: version, finalizers: [], spec };
      };
      configurations = [...configurations, ...added.map(objectOf)];
    };
    const store = {
      list: (kind: string) => {
        const items = kind === CONFIGURATION_KIND ? configurations.slice(-1) : [];
        return Promise.resolve(Result.ok({ items, at: configurations.length }));
      },
      watch: (kind: string, { from, waitMs }: WatchOptions) => {
        const isConfiguration = kind === CONFIGURATION_KIND;
        if (waitMs > 1 || (isConfiguration && isSuspended)) return new Promise(() => {});
        const objects = isConfiguration ? configurations.slice(from) : [];
        const events = objects.map((object) => ({ gone: false, object }));
        return Promise.resolve(Result.ok({ events, at: configurations.length }));
      },
    } as unknown as ObjectStore;
    const directory = new StoreDirectory(store, silentLogger);
    const versions: number[] = [];
    configure(1);
    directory.start({
      onConfiguration: ({ version }) => versions.push(version),
      onBackends: () => {},
      onConfirmed: () => {},
    });
    return { directory, versions, configure, suspend: () => (isSuspended = true) };
  }

  it('knows each configuration so far, also one that has moved a path for a moment, once it is confirmed', async () => {
    const { directory, versions, configure } = startDirectory();
    await sleep(20);
    configure(2, 3);
    expect(await directory.confirmDirectory()).toBe(true);
    expect(versions).toEqual([1, 2, 3]);
    directory.stop();
  });

  it('is not confirmed while the store does not reply with the configurations', async () => {
    const { directory, suspend } = startDirectory();
    await sleep(20);
    suspend();
    const timeout = sleep(100).then(() => 'unconfirmed');
    expect(await Promise.race([directory.confirmDirectory(), timeout])).toBe('unconfirmed');
    directory.stop();
  });
});
