/**
 * Rate limits that backends name in their answers, as one daemon believes them. Answers cross, and no clocks are compared:
 * a limit is lifted or raised only by an answer to a request that was sent under the present belief, and beliefs from several
 * daemons are ordered by a generation (`spec/rate-limit-news.pml`). Pure.
 */
import murmurhash from 'murmurhash';
import { readDecimal } from '../common/decimal.js';
import { startKey } from './backend-starts.js';
import type { BackendProcess } from './declared-leavings.js';

/** Backends' processes that are remembered. */
const MOST_REMEMBERED = 2_000;

/** What an answer says of its backend's limit. */
export type RateLimitNotice =
  | { readonly type: 'limited'; readonly perSecond: number }
  | { readonly type: 'unlimited' }
  /** It says nothing that can be understood: what was believed before stays. */
  | { readonly type: 'unreadable' };

/** What is believed of the limit of one process of a backend. */
export interface BelievedRateLimit {
  readonly backend: BackendProcess;
  /** Higher in each later belief. */
  readonly generation: number;
  /** Requests a second from all daemons; undefined if it names no limit any more. */
  readonly perSecond: number | undefined;
}

/** Reads a header with a limit; of several the lowest counts. */
export function readRateLimit(header: string | undefined): RateLimitNotice {
  if (header === undefined) return { type: 'unlimited' };
  const values = header.split(',').map(readDecimal);
  const limits = values.filter((value) => value !== undefined);
  if (limits.length < values.length) return { type: 'unreadable' };
  return { type: 'limited', perSecond: Math.min(...limits) };
}

/** The beliefs of one daemon. */
export class BackendRateLimits {
  /** By {@link startKey}, those that changed longest ago first. */
  private readonly known = new Map<string, BelievedRateLimit>();
  private fingerprint: number | undefined = 0;

  /** What is believed of a process; of one whose start is known also what was named before it was. */
  of(backend: BackendProcess): BelievedRateLimit | undefined {
    // Asked for each backend with each request; mostly none has named a limit.
    if (this.known.size === 0) return undefined;
    return this.known.get(startKey(backend)) ?? this.known.get(backend.id);
  }

  /** The limit by the name under which it is kept; undefined if there is none. */
  perSecondOf(key: string): number | undefined {
    return this.known.get(key)?.perSecond;
  }

  /**
   * Takes what an answer says.
   *
   * @param sentUnder - What was believed when the request was sent.
   * @returns The new belief; undefined if nothing changes.
   */
  noteAnswer(
    backend: BackendProcess,
    notice: RateLimitNotice,
    sentUnder: BelievedRateLimit | undefined,
  ): BelievedRateLimit | undefined {
    if (notice.type === 'unreadable') return undefined;
    const present = this.of(backend);
    const perSecond = notice.type === 'limited' ? notice.perSecond : undefined;
    if (rateOf(perSecond) === rateOf(present?.perSecond)) return undefined;
    const isStricter = rateOf(perSecond) < rateOf(present?.perSecond);
    if (!isStricter && sentUnder !== present) return undefined;
    const process = present?.backend ?? { ...backend };
    const belief = { backend: process, generation: (present?.generation ?? 0) + 1, perSecond };
    this.keep(belief);
    return belief;
  }

  /** Takes what another daemon believes; returns what was new. */
  hear(beliefs: readonly BelievedRateLimit[]): BelievedRateLimit[] {
    const news = beliefs.filter((heard) => isNewer(heard, this.known.get(startKey(heard.backend))));
    for (const belief of news) this.keep(belief);
    return news;
  }

  /** All that others may lack. */
  all(): BelievedRateLimit[] {
    return [...this.known.values()];
  }

  /** The same at daemons that believe the same; 0 if nothing was ever named. */
  stateDigest(): number {
    this.fingerprint ??= [...this.known].reduce((sum, [key, { generation, perSecond }]) => {
      return (sum ^ murmurhash.v3(`${key} ${generation} ${perSecond}`)) >>> 0;
    }, 0);
    return this.fingerprint;
  }

  private keep(belief: BelievedRateLimit): void {
    const key = startKey(belief.backend);
    this.known.delete(key);
    this.known.set(key, belief);
    this.fingerprint = undefined;
    if (this.known.size <= MOST_REMEMBERED) return;
    const isForgettable = ([, { perSecond }]: [string, BelievedRateLimit]): boolean =>
      perSecond === undefined;
    const [oldest] = [...this.known].find(isForgettable) ?? [...this.known][0] ?? [];
    if (oldest !== undefined) this.known.delete(oldest);
  }
}

function isNewer(heard: BelievedRateLimit, present: BelievedRateLimit | undefined): boolean {
  if (present === undefined || heard.generation > present.generation) return true;
  return (
    heard.generation === present.generation && rateOf(heard.perSecond) < rateOf(present.perSecond)
  );
}

/** A rate that can be compared: no limit is higher than any. */
function rateOf(perSecond: number | undefined): number {
  return perSecond ?? Infinity;
}
