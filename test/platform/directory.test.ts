import { gzipSync } from 'node:zlib';
import { describe, expect, it } from 'vitest';
import { StoreDirectory } from '../../platform/directory.js';
import type { ObjectStore } from '../../platform/object-store.js';
import { silentLogger } from '../../src/common/logger.js';

/** A directory whose store never answers. */
function silentDirectory(): { directory: StoreDirectory; versions: number[] } {
  const never = (): Promise<never> => new Promise(() => {});
  const store = { list: never, watch: never } as unknown as ObjectStore;
  const directory = new StoreDirectory(store, silentLogger);
  const versions: number[] = [];
  directory.start({
    onConfiguration: ({ version }) => versions.push(version),
    onBackends: () => {},
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
