/**
 * A daemon's replica of a set of versioned objects: the configuration or the list
 * of machines. The revision of a feed never decreases. Values stay encoded, so that
 * thousands of idle tenants use little memory.
 */

/** One object at one revision; the value is undefined if the object was deleted. */
export interface FeedEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: Uint8Array | undefined;
}

/** Result of an update. */
export type FeedOutcome = 'applied' | 'old' | 'gap';

/** The state of one feed. */
export class Feed {
  private readonly entries = new Map<string, { revision: number; value: Uint8Array }>();
  private currentRevision = 0;

  /** The current revision; 0 before the first update. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Number of objects. */
  get size(): number {
    return this.entries.size;
  }

  /** The encoded value of an object. */
  get(key: string): Uint8Array | undefined {
    return this.entries.get(key)?.value;
  }

  /** The revision of an object's last change; 0 if it does not exist. */
  revisionOf(key: string): number {
    return this.entries.get(key)?.revision ?? 0;
  }

  /** Iterates over the keys that start with a prefix. */
  *keys(prefix: string): Generator<string> {
    for (const key of this.entries.keys()) if (key.startsWith(prefix)) yield key;
  }

  /** Returns all objects, for a snapshot. */
  all(): FeedEntry[] {
    return [...this.entries].map(([key, entry]) => ({ key, ...entry }));
  }

  /**
   * Applies the changes between `base` and `revision` and calls `onChange` for each
   * key. The base must equal the current revision: two readers may have read the
   * list of machines at different versions, so a delta is complete only for the
   * same base. Any other delta is ignored.
   */
  applyDelta(
    base: number,
    revision: number,
    entries: readonly FeedEntry[],
    onChange: (key: string) => void,
  ): FeedOutcome {
    if (revision <= this.currentRevision) return 'old';
    if (base !== this.currentRevision) return 'gap';
    this.currentRevision = revision;
    for (const entry of entries) {
      this.set(entry);
      onChange(entry.key);
    }
    return 'applied';
  }

  /** Replaces all objects, unless the snapshot is older than the current revision. */
  applySnapshot(
    revision: number,
    entries: readonly FeedEntry[],
    onChange: (key: string) => void,
  ): FeedOutcome {
    if (revision < this.currentRevision) return 'old';
    const changed = this.changedKeys(entries);
    this.currentRevision = revision;
    this.entries.clear();
    for (const entry of entries) this.set(entry);
    for (const key of changed) onChange(key);
    return 'applied';
  }

  private changedKeys(entries: readonly FeedEntry[]): Set<string> {
    const changed = new Set(this.entries.keys());
    for (const entry of entries) {
      const existing = this.entries.get(entry.key);
      if (existing !== undefined && existing.revision === entry.revision) changed.delete(entry.key);
      else changed.add(entry.key);
    }
    return changed;
  }

  private set(entry: FeedEntry): void {
    if (entry.value === undefined) this.entries.delete(entry.key);
    else this.entries.set(entry.key, { revision: entry.revision, value: entry.value });
  }
}
