/**
 * Bounds the memory of all answers and events that a daemon keeps until they are complete. When the sum is
 * exceeded, the largest is ended, so that one answer without an end takes no room from others. Pure.
 */

/** The memory that one answer takes. */
export interface IncompleteAnswer {
  readonly id: number;
  readonly bytes: number;
}

/** The answers that are incomplete now, by id. */
export class IncompleteAnswers {
  private readonly sizes = new Map<number, number>();
  private total = 0;

  /** @param maxBytes - Limit for all incomplete answers together. */
  constructor(private readonly maxBytes: number) {}

  /** Records the size of an answer; 0 removes it. */
  record(id: number, bytes: number): void {
    this.total += bytes - (this.sizes.get(id) ?? 0);
    if (bytes > 0) this.sizes.set(id, bytes);
    else this.sizes.delete(id);
  }

  /** Returns the answer to end now, which is the largest; undefined if all have room. */
  get toEnd(): IncompleteAnswer | undefined {
    if (this.total <= this.maxBytes) return undefined;
    let largest: IncompleteAnswer | undefined;
    for (const [id, bytes] of this.sizes) {
      if (bytes > (largest?.bytes ?? 0)) largest = { id, bytes };
    }
    return largest;
  }
}
