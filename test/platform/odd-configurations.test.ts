/**
 * Guards against a configuration that another program has written with odd values. A deeply nested one could not be sent to other
 * daemons, and one with a version that no later one exceeds ended the following of the configuration.
 */
import { Result } from 'true-myth';
import { afterEach, describe, expect, it } from 'vitest';
import { StoreDirectory } from '../../platform/directory.js';
import type { ObjectStore } from '../../platform/object-store.js';
import { silentLogger, type LogFields, type Logger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';

const FIRST_REVISION = 1;
const NEXT_REVISION = 2;
/** Time within which a directory applies a change that the store returns at once. */
const APPLIED_WITHIN_MS = 300;

const directories: StoreDirectory[] = [];

function deepObject(depth: number): unknown {
  return JSON.parse('{"a":'.repeat(depth) + '1' + '}'.repeat(depth)) as unknown;
}

interface Followed {
  readonly directory: StoreDirectory;
  /** Versions applied. */
  readonly versions: readonly number[];
  /** Versions confirmed to be the newest. */
  readonly confirmed: readonly number[];
  /** Fields of the log lines about configurations that were not applied. */
  readonly unread: readonly LogFields[];
}

/** Follows a store that first holds one specification of the configuration and then another. */
async function follow(first: unknown, next: unknown): Promise<Followed> {
  const objectOf = (spec: unknown, revision: number) => ({
    name: 'main',
    revision,
    finalizers: [],
    spec,
  });
  const store = {
    list: (kind: string) =>
      Promise.resolve(
        Result.ok({
          items: kind === 'config' ? [objectOf(first, FIRST_REVISION)] : [],
          at: FIRST_REVISION,
        }),
      ),
    watch: (kind: string, { from }: { from: number }) =>
      kind === 'config' && from === FIRST_REVISION
        ? Promise.resolve(
            Result.ok({
              events: [{ gone: false, object: objectOf(next, NEXT_REVISION) }],
              at: NEXT_REVISION,
            }),
          )
        : new Promise(() => {}),
    get: () => Promise.resolve(Result.ok(objectOf(next, NEXT_REVISION))),
    sinceRestoreMs: () => Infinity,
  };
  const versions: number[] = [];
  const confirmed: number[] = [];
  const unread: LogFields[] = [];
  const logger: Logger = {
    ...silentLogger,
    error: (event, fields = {}) => {
      if (event === 'configuration_unread') unread.push(fields);
    },
  };
  const directory = new StoreDirectory(store as unknown as ObjectStore, logger);
  directories.push(directory);
  directory.start({
    onConfiguration: ({ version }) => versions.push(version),
    onBackends: () => {},
    onConfirmed: (version) => confirmed.push(version),
  });
  await sleep(APPLIED_WITHIN_MS);
  return { directory, versions, confirmed, unread };
}

describe('a configuration with an odd value', () => {
  afterEach(() => {
    for (const directory of directories.splice(0)) directory.stop();
  });

  it.each(['1e400', '1e308', '18446744073709551616', '9007199254740992'])(
    'in its version, %s, does not prevent later versions from being applied',
    async (odd) => {
      const first = JSON.parse(`{"version":${odd}}`) as unknown;
      const { versions } = await follow(first, { version: 2 });
      expect(versions).toEqual([2]);
    },
  );

  it('in its version confirms no version, and is logged once', async () => {
    const odd = JSON.parse('{"version":1e400}') as unknown;
    const { versions, confirmed, unread, directory } = await follow({ version: 1 }, odd);
    expect(await directory.confirmConfiguration()).toBe(false);
    expect(versions).toEqual([1]);
    expect(confirmed).toEqual([]);
    expect(unread).toEqual([{ revision: NEXT_REVISION, reason: 'version' }]);
  });

  it.each([3_000, 10_000, 100_000])(
    'that is nested %i deep can still be sent to other daemons',
    async (depth) => {
      const limits = { maxBodyBytes: 100, odd: deepObject(depth) };
      const spec = { version: 2, limits, routes: [], odd: deepObject(depth) };
      const { versions, directory } = await follow({ version: 1 }, spec);
      expect(versions).toEqual([1, 2]);
      const document = directory.configurationDocument() ?? new Uint8Array();
      const peer = await follow({ version: 1 }, { version: 1 });
      expect(peer.directory.applyConfigurationDocument(document)).toBe(true);
      expect(peer.versions).toEqual([1, 2]);
    },
  );
});
