/**
 * Backend processes that have announced in a response that they are shutting down. Unlike the state in a list, an announcement is
 * final: the process never serves again, even if a list or another daemon later reports that it does (`spec/leaving.pml`).
 * Performs no I/O.
 */

/** Most backend ids kept. Old ones can be dropped, because each process announces its shutdown once and exits soon after. */
const MAX_BACKENDS = 2_000;

/** Identifies one process of a backend. */
export interface BackendProcess {
  readonly id: string;
  /** Differs between two processes with the same id; undefined if unknown. */
  readonly start?: string;
}

/** Extracts the process identity from a record or another object that contains it. */
export function backendProcessOf({ id, start }: BackendProcess): BackendProcess {
  return { id, ...(start === undefined ? {} : { start }) };
}

/** The processes that one daemon knows to be shutting down. */
export class AnnouncedShutdowns {
  /** Starts by backend id; the empty string stands for an unknown start. */
  private readonly starts = new Map<string, Set<string>>();

  get isEmpty(): boolean {
    return this.starts.size === 0;
  }

  /** Records that a process is shutting down. Returns false if that was already recorded. */
  add({ id, start = '' }: BackendProcess): boolean {
    const leavingStarts = this.starts.get(id) ?? new Set();
    if (leavingStarts.has(start)) return false;
    this.starts.delete(id);
    this.starts.set(id, leavingStarts.add(start));
    this.evictOldest();
    return true;
  }

  /** Whether a process is shutting down. An unknown start, given or recorded, matches every start of the id. */
  has({ id, start = '' }: BackendProcess): boolean {
    const leavingStarts = this.starts.get(id);
    if (leavingStarts === undefined) return false;
    return start === '' || leavingStarts.has(start) || leavingStarts.has('');
  }

  private evictOldest(): void {
    if (this.starts.size <= MAX_BACKENDS) return;
    const [oldest] = this.starts.keys();
    if (oldest !== undefined) this.starts.delete(oldest);
  }
}
