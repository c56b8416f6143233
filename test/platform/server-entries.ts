/** The platform's list of servers as a directory reads it from a store of the test's own. */
import { Result } from 'true-myth';
import { StoreDirectory } from '../../platform/directory.js';
import type { ObjectStore, StoreObject } from '../../platform/object-store.js';
import type { LogFields, Logger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';

/** A server's entry as the platform's pages describe it; change what matters. */
export function serverEntry(part: Readonly<Record<string, unknown>> = {}): StoreObject['spec'] {
  return {
    service: 'service',
    address: '10.1.0.1:80',
    zone: 'a',
    version: 1,
    slots: 4,
    state: 'ready',
    coldLeftMs: 0,
    seq: 0,
    ...part,
  };
}

/** A log line. */
export interface Line extends LogFields {
  readonly event: string;
}

/** What a directory has made of a store's entries. */
export interface ReadList {
  readonly backends: readonly BackendRecord[];
  readonly lines: readonly Line[];
  /** Gives the directory further entries, as changes. */
  change(items: readonly StoreObject[]): Promise<void>;
}

/** Reads entries by name. */
export async function readEntries(
  entries: Readonly<Record<string, unknown>>,
): Promise<ReadList & { stop: () => void }> {
  const lines: Line[] = [];
  const write = (event: string, fields: LogFields = {}): void => {
    lines.push({ event, ...fields });
  };
  const logger: Logger = { info: write, warn: write, error: write };
  let backends: readonly BackendRecord[] = [];
  let tell: (items: readonly StoreObject[]) => void = () => {};
  const items = Object.entries(entries).map(([name, spec]) => ({
    name,
    revision: 1,
    finalizers: [],
    spec,
  }));
  const store = {
    list: (kind: string) =>
      Promise.resolve(Result.ok({ items: kind === 'servers' ? items : [], unread: [], at: 1 })),
    watch: (kind: string) =>
      new Promise((resolve) => {
        if (kind !== 'servers') return;
        tell = (changed) => {
          const events = changed.map((object) => ({ gone: false, object }));
          resolve(
            Result.ok({ events, unread: [], at: Math.max(...changed.map((o) => o.revision)) }),
          );
        };
      }),
  };
  const directory = new StoreDirectory(store as unknown as ObjectStore, logger);
  directory.start({
    onConfiguration: () => {},
    onBackends: (list) => (backends = list.backends),
    onConfirmed: () => {},
  });
  // The pace rests for 200 ms after each call.
  await sleep(260);
  return {
    get backends() {
      return backends;
    },
    lines,
    change: async (changed) => {
      tell(changed);
      await sleep(260);
    },
    stop: () => directory.stop(),
  };
}
