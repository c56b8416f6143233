/**
 * A numbered history of objects, as every daemon holds it: the configuration,
 * or the list of machines. A feed never steps to a lower revision. Values stay
 * encoded, so that thousands of idle tenants cost little memory.
 */

/** One object at one revision; no value means that it was deleted. */
export interface FeedEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: Uint8Array | undefined;
}

/** What became of an update. */
export type FeedOutcome = 'applied' | 'old' | 'gap';

/** The state of one feed. */
export class Feed {
  private readonly entries = new Map<string, { revision: number; value: Uint8Array }>();
  private reached = 0;

  /** The revision that this feed has reached; 0 before anything was heard. */
  get revision(): number {
    return this.reached;
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

  /** Keys that start with a prefix. */
  *keys(prefix: string): Generator<string> {
    for (const key of this.entries.keys()) if (key.startsWith(prefix)) yield key;
  }

  /** All objects, for a snapshot. */
  all(): FeedEntry[] {
    return [...this.entries].map(([key, entry]) => ({ key, ...entry }));
  }

  /**
   * Applies the changes that lead from `base` to `revision` and tells `onChange`
   * each key. The base must be exactly what is held: two readers may have seen
   * the list of machines at different versions, so only a step from the same
   * base is complete. Anything else changes nothing.
   */
  applyDelta(
    base: number,
    revision: number,
    entries: readonly FeedEntry[],
    onChange: (key: string) => void,
  ): FeedOutcome {
    if (revision <= this.reached) return 'old';
    if (base !== this.reached) return 'gap';
    this.reached = revision;
    for (const entry of entries) {
      this.set(entry);
      onChange(entry.key);
    }
    return 'applied';
  }

  /** Replaces the whole state, unless it is older than what is already held. */
  applySnapshot(
    revision: number,
    entries: readonly FeedEntry[],
    onChange: (key: string) => void,
  ): FeedOutcome {
    if (revision < this.reached) return 'old';
    const changed = this.differences(entries);
    this.reached = revision;
    this.entries.clear();
    for (const entry of entries) this.set(entry);
    for (const key of changed) onChange(key);
    return 'applied';
  }

  private differences(entries: readonly FeedEntry[]): Set<string> {
    const changed = new Set(this.entries.keys());
    for (const entry of entries) {
      const held = this.entries.get(entry.key);
      if (held !== undefined && held.revision === entry.revision) changed.delete(entry.key);
      else changed.add(entry.key);
    }
    return changed;
  }

  private set(entry: FeedEntry): void {
    if (entry.value === undefined) this.entries.delete(entry.key);
    else this.entries.set(entry.key, { revision: entry.revision, value: entry.value });
  }
}
