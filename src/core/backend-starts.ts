/**
 * Notices backends that have ended and started again under the same id, by the list or by a peer's word.
 * Whatever is known of the earlier start says nothing of the later one. Pure.
 */
import type { BackendRecord } from './service-configuration.js';

/** Starts that are remembered, also of backends whose entries are gone for a while. */
const REMEMBERED_STARTS = 2_000;

/** What names one start of a backend. */
interface Start {
  readonly start?: string;
}

/** A backend whose process has started again. */
export interface BackendRestart {
  /** As it is known since. */
  readonly backend: BackendRecord;
  readonly earlierStart: string;
  /** "ip:port" that the earlier process had. */
  readonly earlierAddress: string;
}

interface KnownStart {
  readonly start: string;
  readonly address: string;
  readonly revision: number;
}

/** Whether two words on one backend are of different starts. A word without a start is taken for the same one. */
export function isAnotherStart(one: Start | undefined, other: Start | undefined): boolean {
  if (one?.start === undefined || other?.start === undefined) return false;
  return one.start !== other.start;
}

/** Names one start of a backend's process. */
export function startKey({ id, start }: Start & { readonly id: string }): string {
  return start === undefined ? id : `${id} ${start}`;
}

/** The newest known start of each backend. */
export class BackendStarts {
  /** By id, those heard of longest ago first. */
  private readonly known = new Map<string, KnownStart>();

  /** Takes a word on a backend; returns the restart that it tells of. A word older than the last one tells nothing. */
  note(backend: BackendRecord): BackendRestart | undefined {
    const { id, start, address, revision } = backend;
    if (start === undefined) return undefined;
    const known = this.known.get(id);
    if (known !== undefined && known.revision > revision) return undefined;
    this.known.delete(id);
    this.known.set(id, { start, address, revision });
    this.forgetOldest();
    if (known === undefined || known.start === start) return undefined;
    return { backend, earlierStart: known.start, earlierAddress: known.address };
  }

  private forgetOldest(): void {
    if (this.known.size <= REMEMBERED_STARTS) return;
    const [oldest] = this.known.keys();
    if (oldest !== undefined) this.known.delete(oldest);
  }
}
