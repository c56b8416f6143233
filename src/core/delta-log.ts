/**
 * The latest changes of a feed, for subscribers that reconnect after a short interruption. Bounded in number and in bytes; a subscriber
 * that lacks more gets a snapshot. No I/O.
 */
import type { FeedEntry } from './feed.js';

/** Maximum number of deltas. */
const MAX_DELTAS = 256;
/** Maximum size of the deltas, in bytes of their keys and values. */
export const MAX_DELTA_LOG_BYTES = 4 * 1024 * 1024;

/** All changes of a feed between two revisions. */
export interface LoggedDelta {
  readonly base: number;
  readonly revision: number;
  readonly entries: readonly FeedEntry[];
}

/** The log of one feed. */
export class DeltaLog {
  /** Oldest first. */
  private readonly deltas: LoggedDelta[] = [];
  private totalBytes = 0;

  /** Size of the logged deltas, in bytes. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Adds a delta, which begins at the revision at which the last one ended. */
  add(delta: LoggedDelta): void {
    this.deltas.push(delta);
    this.totalBytes += bytesOf(delta);
    while (this.deltas.length > MAX_DELTAS || this.totalBytes > MAX_DELTA_LOG_BYTES) {
      this.totalBytes -= bytesOf(this.deltas.shift()!);
    }
  }

  /** Returns all deltas after a revision; undefined if they are not all logged. */
  since(revision: number): readonly LoggedDelta[] | undefined {
    const start = this.deltas.findIndex((delta) => delta.base === revision);
    return start < 0 ? undefined : this.deltas.slice(start);
  }

  /** Deletes all deltas, because a later one will not begin where the last one ended. */
  clear(): void {
    this.deltas.length = 0;
    this.totalBytes = 0;
  }
}

function bytesOf({ entries }: LoggedDelta): number {
  return entries.reduce((total, { key, value }) => total + key.length + (value?.length ?? 0), 0);
}
