/**
 * Backends that have said themselves, in an answer, that they leave. Unlike what a list shows, that is never taken back: the same
 * process does not serve again, whatever a list or another daemon says later (`spec/leaving.pml`). Pure.
 */

/** Processes that are remembered: each start of a backend leaves once, and is gone soon after. */
const MOST_REMEMBERED = 2_000;

/** What names one process of a backend. */
export interface BackendProcess {
  readonly id: string;
  /** Differs between two processes under the same id; undefined if nobody has told. */
  readonly start?: string;
}

/** The process that a record, or another word on a backend, is of. */
export function processOf({ id, start }: BackendProcess): BackendProcess {
  return { id, ...(start === undefined ? {} : { start }) };
}

/** The processes that one daemon knows to leave. */
export class DeclaredLeavings {
  /** Starts by id; the empty text for a process whose start is not known. */
  private readonly starts = new Map<string, Set<string>>();

  get isEmpty(): boolean {
    return this.starts.size === 0;
  }

  /** Notes that a process leaves. Returns false if that was known. */
  note({ id, start = '' }: BackendProcess): boolean {
    const known = this.starts.get(id) ?? new Set();
    if (known.has(start)) return false;
    this.starts.delete(id);
    this.starts.set(id, known.add(start));
    this.forgetOldest();
    return true;
  }

  /** Whether a process leaves. One whose start is not known is taken for any that is. */
  has({ id, start = '' }: BackendProcess): boolean {
    const known = this.starts.get(id);
    if (known === undefined) return false;
    return start === '' || known.has(start) || known.has('');
  }

  private forgetOldest(): void {
    if (this.starts.size <= MOST_REMEMBERED) return;
    const [oldest] = this.starts.keys();
    if (oldest !== undefined) this.starts.delete(oldest);
  }
}
