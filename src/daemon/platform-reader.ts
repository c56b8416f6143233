/**
 * Reads the platform on behalf of a whole zone: watches the objects and polls the list
 * of machines. Only the few highest-ranked daemons of a zone run a reader, because the
 * object API supports only a small number of readers.
 */
import type { Logger } from '../common/logger.js';
import { sleep } from '../common/process.js';
import type { FeedEntry } from '../core/feed.js';
import {
  objectKey,
  type Machine,
  type PlatformClient,
  type StoredObject,
  type Watch,
  type WatchEvent,
} from '../platform/platform-client.js';
import type { FeedRelay } from './feed-relay.js';

/** Milliseconds between two polls of the list of machines. */
const MACHINE_POLL_MS = 500;
/** Milliseconds before a failed list or an ended watch is retried. */
const WATCH_RETRY_MS = 300;

/** Reads the configuration and the list of machines from the platform into two relays. */
export class PlatformReader {
  private running = false;
  private watch: Watch | undefined;
  private generation = 0;

  constructor(
    private readonly platform: PlatformClient,
    private readonly configuration: FeedRelay,
    private readonly machines: FeedRelay,
    private readonly logger: Logger,
  ) {}

  /** Starts or stops reading. */
  setRunning(running: boolean): void {
    if (running === this.running) return;
    this.running = running;
    this.generation += 1;
    this.watch?.close();
    this.watch = undefined;
    this.logger.info(running ? 'reader_started' : 'reader_stopped');
    if (!running) return;
    void this.readConfiguration(this.generation);
    void this.readMachines(this.generation);
  }

  private isCurrent(generation: number): boolean {
    return this.running && this.generation === generation;
  }

  private async readConfiguration(generation: number): Promise<void> {
    let list = this.configuration.state.revision === 0;
    while (this.isCurrent(generation)) {
      if (list && !(await this.listObjects(generation))) {
        await sleep(WATCH_RETRY_MS);
        continue;
      }
      const reason = await this.followObjects(generation);
      list = reason === 'too_old';
      if (this.isCurrent(generation)) this.logger.warn('watch_ended', { reason });
      await sleep(WATCH_RETRY_MS);
    }
  }

  private async listObjects(generation: number): Promise<boolean> {
    const list = await this.platform.list();
    if (!this.isCurrent(generation) || list.isErr) return false;
    const entries = list.value.items.map(objectEntry);
    this.configuration.applyLocalSnapshot(list.value.revision, entries);
    return true;
  }

  private followObjects(generation: number): Promise<'broken' | 'too_old'> {
    return new Promise((resolve) => {
      let reached = this.configuration.state.revision;
      this.watch = this.platform.watch(reached, {
        onEvent: (event) => {
          if (!this.isCurrent(generation)) return;
          if (event.change !== undefined && event.revision > reached) {
            this.configuration.applyLocalDelta(reached, event.revision, [changeEntry(event)]);
            reached = event.revision;
          }
          // The watch delivers events in order, so this event confirms all changes up to its
          // revision.
          if (this.configuration.state.revision >= event.revision) this.configuration.confirm();
        },
        onEnd: resolve,
      });
    });
  }

  private async readMachines(generation: number): Promise<void> {
    while (this.isCurrent(generation)) {
      const list = await this.platform.machines();
      if (list.isOk && this.isCurrent(generation)) {
        this.applyMachines(list.value.version, list.value.machines);
        this.machines.confirm();
      }
      await sleep(MACHINE_POLL_MS);
    }
  }

  private applyMachines(version: number, list: readonly Machine[]): void {
    const { state } = this.machines;
    if (version <= state.revision) return;
    const entries: FeedEntry[] = [];
    const listed = new Set<string>();
    for (const machine of list) {
      listed.add(machine.address);
      const value = encodeValue(machine);
      const stored = state.get(machine.address);
      if (stored !== undefined && Buffer.compare(stored, value) === 0) continue;
      entries.push({ key: machine.address, revision: version, value });
    }
    for (const address of [...state.keys('')]) {
      if (!listed.has(address)) entries.push({ key: address, revision: version, value: undefined });
    }
    this.machines.applyLocalDelta(state.revision, version, entries);
  }
}

/** Encodes a value in the form in which feeds store it. */
export function encodeValue(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value), 'utf8');
}

function objectEntry(object: StoredObject): FeedEntry {
  const key = objectKey(object.kind, object.name);
  return { key, revision: object.version, value: encodeValue(object.value) };
}

function changeEntry(event: WatchEvent): FeedEntry {
  const change = event.change;
  if (change === undefined) return { key: '', revision: event.revision, value: undefined };
  const value = change.value === undefined ? undefined : encodeValue(change.value);
  return { key: objectKey(change.kind, change.name), revision: event.revision, value };
}
