/**
 * Detects backends that restarted under the same id, from the backend list or from a peer's message. Information
 * about the earlier process does not apply to the later one. Pure.
 */
import type { BackendRecord } from './service-configuration.js';

/** Maximum number of remembered starts, including backends that are missing from the list for a while. */
const MAX_REMEMBERED_STARTS = 2_000;

/** The identifier of one start of a backend. */
interface Start {
  readonly start?: string;
}

/** A backend whose process has started again. */
export interface BackendRestart {
  /** The record of the new process. */
  readonly backend: BackendRecord;
  readonly earlierStart: string;
  /** Address of the earlier process, as "ip:port". */
  readonly earlierAddress: string;
}

interface KnownStart {
  readonly start: string;
  readonly address: string;
  readonly revision: number;
}

/** Whether two records of one backend belong to different starts. A record without a start counts as the same start. */
export function isDifferentStart(one: Start | undefined, other: Start | undefined): boolean {
  if (one?.start === undefined || other?.start === undefined) return false;
  return one.start !== other.start;
}

/** Returns the key of one start of a backend's process. */
export function startKey({ id, start }: Start & { readonly id: string }): string {
  return start === undefined ? id : `${id} ${start}`;
}

/** The newest known start of each backend. */
export class BackendStarts {
  /** Starts by backend id, least recently updated first. */
  private readonly known = new Map<string, KnownStart>();

  /** Records a backend record; returns the restart that it shows, if any. Ignores a record older than the known one. */
  recordStart(backend: BackendRecord): BackendRestart | undefined {
    const { id, start, address, revision } = backend;
    if (start === undefined) return undefined;
    const known = this.known.get(id);
    if (known !== undefined && known.revision > revision) return undefined;
    this.known.delete(id);
    this.known.set(id, { start, address, revision });
    this.removeOldest();
    if (known === undefined || known.start === start) return undefined;
    return { backend, earlierStart: known.start, earlierAddress: known.address };
  }

  private removeOldest(): void {
    if (this.known.size <= MAX_REMEMBERED_STARTS) return;
    const [oldest] = this.known.keys();
    if (oldest !== undefined) this.known.delete(oldest);
  }
}
