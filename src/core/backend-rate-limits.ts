/**
 * One daemon's view of the rate limits that backends announce in their answers. Answers can arrive out of order, and
 * clocks of different machines are not compared. Therefore only an answer to a request that was sent under the current
 * limit may raise or remove it. A generation number orders the limits that different daemons record
 * (`spec/rate-limit-news.pml`). Pure.
 */
import murmurhash from 'murmurhash';
import { readDecimal } from '../common/decimal.js';
import { startKey } from './backend-starts.js';
import type { BackendProcess } from './announced-shutdowns.js';

/** Maximum number of backend processes with a recorded limit. */
const MAX_REMEMBERED = 2_000;

/** The rate limit announced in one answer. */
export type RateLimitNotice =
  | { readonly type: 'limited'; readonly perSecond: number }
  | { readonly type: 'unlimited' }
  /** The header cannot be parsed; the recorded limit does not change. */
  | { readonly type: 'unreadable' };

/** The recorded rate limit of one backend process. */
export interface RecordedRateLimit {
  readonly backend: BackendProcess;
  /** Increases with each later value. */
  readonly generation: number;
  /** Requests per second from all daemons together; undefined if the backend no longer announces a limit. */
  readonly perSecond: number | undefined;
}

/** Parses a rate limit header; if it holds several limits, the lowest applies. */
export function readRateLimit(header: string | undefined): RateLimitNotice {
  if (header === undefined) return { type: 'unlimited' };
  const values = header.split(',').map(readDecimal);
  const limits = values.filter((value) => value !== undefined);
  if (limits.length < values.length) return { type: 'unreadable' };
  return { type: 'limited', perSecond: Math.min(...limits) };
}

/** The rate limits that one daemon has recorded. */
export class BackendRateLimits {
  /** Limits by {@link startKey}, least recently changed first. */
  private readonly known = new Map<string, RecordedRateLimit>();
  private cachedDigest: number | undefined = 0;

  /**
   * Returns the recorded limit of a process. If the process has a known start but no limit of its own, the limit
   * recorded before the start was known applies.
   */
  limitOf(backend: BackendProcess): RecordedRateLimit | undefined {
    // This runs for each backend with each request, and usually no backend has announced a limit.
    if (this.known.size === 0) return undefined;
    return this.known.get(startKey(backend)) ?? this.known.get(backend.id);
  }

  /** Returns the limit under a {@link startKey}; undefined if there is none. */
  perSecondOf(key: string): number | undefined {
    return this.known.get(key)?.perSecond;
  }

  /**
   * Records the limit that an answer announces.
   *
   * @param limitAtSend - The recorded limit at the time the request was sent.
   * @returns The new recorded limit; undefined if nothing changes.
   */
  recordAnswer(
    backend: BackendProcess,
    notice: RateLimitNotice,
    limitAtSend: RecordedRateLimit | undefined,
  ): RecordedRateLimit | undefined {
    if (notice.type === 'unreadable') return undefined;
    const current = this.limitOf(backend);
    const perSecond = notice.type === 'limited' ? notice.perSecond : undefined;
    if (comparableRate(perSecond) === comparableRate(current?.perSecond)) return undefined;
    const isStricter = comparableRate(perSecond) < comparableRate(current?.perSecond);
    if (!isStricter && limitAtSend !== current) return undefined;
    const process = current?.backend ?? { ...backend };
    const limit = { backend: process, generation: (current?.generation ?? 0) + 1, perSecond };
    this.store(limit);
    return limit;
  }

  /** Merges limits recorded by another daemon; returns those that were newer. */
  merge(receivedLimits: readonly RecordedRateLimit[]): RecordedRateLimit[] {
    const newerLimits = receivedLimits.filter((received) =>
      isNewer(received, this.known.get(startKey(received.backend))),
    );
    for (const limit of newerLimits) this.store(limit);
    return newerLimits;
  }

  /** All recorded limits, for other daemons to merge. */
  all(): RecordedRateLimit[] {
    return [...this.known.values()];
  }

  /** A digest that is equal at daemons with the same recorded limits; 0 if no backend ever announced a limit. */
  stateDigest(): number {
    this.cachedDigest ??= [...this.known].reduce((sum, [key, { generation, perSecond }]) => {
      return (sum ^ murmurhash.v3(`${key} ${generation} ${perSecond}`)) >>> 0;
    }, 0);
    return this.cachedDigest;
  }

  private store(limit: RecordedRateLimit): void {
    const key = startKey(limit.backend);
    this.known.delete(key);
    this.known.set(key, limit);
    this.cachedDigest = undefined;
    if (this.known.size <= MAX_REMEMBERED) return;
    const hasNoLimit = ([, { perSecond }]: [string, RecordedRateLimit]): boolean =>
      perSecond === undefined;
    const [oldest] = [...this.known].find(hasNoLimit) ?? [...this.known][0] ?? [];
    if (oldest !== undefined) this.known.delete(oldest);
  }
}

function isNewer(received: RecordedRateLimit, current: RecordedRateLimit | undefined): boolean {
  if (current === undefined || received.generation > current.generation) return true;
  return (
    received.generation === current.generation &&
    comparableRate(received.perSecond) < comparableRate(current.perSecond)
  );
}

/** A comparable rate: no limit counts as infinite. */
function comparableRate(perSecond: number | undefined): number {
  return perSecond ?? Infinity;
}
