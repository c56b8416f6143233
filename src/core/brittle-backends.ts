/**
 * Backends that fall over if they have to reject more than a number of requests a second for lack of room, as they tell in their
 * answers. They get no more requests at once than their slots, divided over the daemons. After a rejection a rate limit applies to all
 * daemons together, so that even if each of these requests is rejected, the backend stays up. Pure; times are
 * milliseconds of a monotonic clock.
 */
import type { RateLimitNotice, RecordedRateLimit } from './backend-rate-limits.js';
import { startKey } from './backend-starts.js';
import type { BackendProcess } from './announced-shutdowns.js';

/** Time without a rejection after which the rate limit ends. */
const PROBATION_MS = 3_000;
/** Share of the tolerated rejections that the rate limit admits; the rest is for requests already on their way. */
const ADMITTED_SHARE = 0.25;
/** Lowest rate limit in requests per second: some request must show whether the backend has room again. */
const MIN_PER_SECOND = 0.5;
/** Maximum number of remembered backends. */
const MAX_REMEMBERED = 2_000;

/** What an answer says about rejections. */
export interface AnsweredRejections {
  /** Rejections per second that the backend tolerates; unlimited if it is not brittle. */
  readonly tolerated: RateLimitNotice;
  /** Whether the answer is a rejection for lack of room. */
  readonly isRejection: boolean;
}

interface BrittleBackend {
  readonly tolerated: number;
  /** Time of the last rejection that this daemon has received or learned of through a rate limit. */
  rejectedAt: number;
  /** Generation of the rate limit that was last seen. */
  limitGeneration: number;
}

/** The brittle backends that one daemon knows. */
export class BrittleBackends {
  /** By {@link startKey}. */
  private readonly known = new Map<string, BrittleBackend>();

  /** Number of backends that are brittle. */
  get size(): number {
    return this.known.size;
  }

  /** Rejections per second that a backend tolerates; undefined if it is not brittle. */
  toleratedBy(backend: BackendProcess): number | undefined {
    return this.known.size === 0 ? undefined : this.known.get(startKey(backend))?.tolerated;
  }

  /**
   * Maximum number of requests that this daemon may have in flight at a backend; infinite if it is not brittle.
   * @param daemons - Number of daemons that send to it.
   */
  inFlightLimit(backend: BackendProcess & { readonly slots: number }, daemons: number): number {
    if (this.toleratedBy(backend) === undefined) return Infinity;
    return Math.max(1, Math.floor(backend.slots / Math.max(1, daemons)));
  }

  /**
   * Records an answer.
   *
   * @param named - The rate limit that the backend itself names.
   * @param recorded - The rate limit recorded for the backend.
   * @returns The rate limit to record: the named one, or a lower one after a rejection.
   */
  recordAnswer(
    backend: BackendProcess,
    { tolerated, isRejection }: AnsweredRejections,
    named: RateLimitNotice,
    recorded: RecordedRateLimit | undefined,
    now: number,
  ): RateLimitNotice {
    const key = startKey(backend);
    const brittle = this.update(key, tolerated);
    if (brittle === undefined) return named;
    if (recorded !== undefined && recorded.generation > brittle.limitGeneration) {
      // Another daemon has met a rejection, or none for the whole time.
      brittle.rejectedAt = recorded.perSecond === undefined ? -Infinity : now;
      brittle.limitGeneration = recorded.generation;
    }
    if (isRejection) brittle.rejectedAt = now;
    if (now - brittle.rejectedAt >= PROBATION_MS) return named;
    const perSecond = Math.max(MIN_PER_SECOND, brittle.tolerated * ADMITTED_SHARE);
    const former = named.type === 'unreadable' ? recorded?.perSecond : undefined;
    const limit = named.type === 'limited' ? named.perSecond : (former ?? Infinity);
    return { type: 'limited', perSecond: Math.min(limit, perSecond) };
  }

  /** Records a rate limit that this daemon itself has set, so that it does not count as news of another one. */
  recordOwnLimit(backend: BackendProcess, { generation }: RecordedRateLimit): void {
    const brittle = this.known.get(startKey(backend));
    if (brittle !== undefined) brittle.limitGeneration = generation;
  }

  /** Forgets all backends that are not in the set of {@link startKey}s. */
  keepOnly(listed: ReadonlySet<string>): void {
    for (const key of this.known.keys()) if (!listed.has(key)) this.known.delete(key);
  }

  private update(key: string, notice: RateLimitNotice): BrittleBackend | undefined {
    const before = this.known.get(key);
    if (notice.type === 'unreadable') return before;
    if (notice.type === 'unlimited') {
      this.known.delete(key);
      return undefined;
    }
    const tolerated = notice.perSecond;
    if (before?.tolerated === tolerated) return before;
    if (before === undefined && this.known.size >= MAX_REMEMBERED) return undefined;
    const { rejectedAt = -Infinity, limitGeneration = 0 } = before ?? {};
    const brittle = { tolerated, rejectedAt, limitGeneration };
    this.known.set(key, brittle);
    return brittle;
  }
}
