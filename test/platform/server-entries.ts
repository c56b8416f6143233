/** Test helpers that let a directory read a server list from a fake store. */
import { Result } from 'true-myth';
import { StoreDirectory } from '../../platform/directory.js';
import type { ObjectStore, StoreObject } from '../../platform/object-store.js';
import type { LogFields, Logger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';

/** A valid server entry; `part` overrides single fields. */
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

/** A log line with its event name. */
export interface LogLine extends LogFields {
  readonly event: string;
}

/** Backends and log lines that a directory produced from the store's entries. */
export interface DirectoryReading {
  readonly backends: readonly BackendRecord[];
  readonly lines: readonly LogLine[];
  /** Delivers changed entries to the directory through its watch. */
  change(items: readonly StoreObject[]): Promise<void>;
}

/** Starts a directory on the given entries, by name. */
export async function readEntries(
  entries: Readonly<Record<string, unknown>>,
): Promise<DirectoryReading & { stop: () => void }> {
  const lines: LogLine[] = [];
  const write = (event: string, fields: LogFields = {}): void => {
    lines.push({ event, ...fields });
  };
  const logger: Logger = { info: write, warn: write, error: write };
  let backends: readonly BackendRecord[] = [];
  let deliver: (items: readonly StoreObject[]) => void = () => {};
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
        deliver = (changed) => {
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
  // The directory starts its next watch 200 ms after the previous one.
  await sleep(260);
  return {
    get backends() {
      return backends;
    },
    lines,
    change: async (changed) => {
      deliver(changed);
      await sleep(260);
    },
    stop: () => directory.stop(),
  };
}
