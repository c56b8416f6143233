/**
 * Chooses the daemon that relays a request to a backend which this daemon cannot reach. Whether another daemon reaches the
 * backends is learned from its answers: one that has just relayed is preferred, one that could not is left out for a
 * time. Pure; times are milliseconds of a monotonic clock.
 */
import { rendezvousWeight } from '../common/rendezvous.js';

/** Why a daemon did not relay a request. */
export type RelayRefusal =
  /** It reaches no backend itself. */
  | 'partitioned'
  /** It cannot reach this backend, but others. */
  | 'backend_unreachable'
  /** It does not know the backend, or knows that it is leaving. */
  | 'backend_unavailable'
  /** It relays as many requests as it may. */
  | 'busy'
  /** It stops. */
  | 'draining'
  /** It does not take this daemon for a member of the group, or cannot read the request. */
  | 'rejected'
  /** It could not be reached, or does not relay at all. */
  | 'no_relay';

/** Time for which a daemon that refused is left out, by the reason. */
const REFUSAL_MS: Readonly<Record<RelayRefusal, number>> = {
  partitioned: 1_000,
  backend_unreachable: 0,
  backend_unavailable: 0,
  busy: 250,
  draining: 10_000,
  rejected: 5_000,
  no_relay: 5_000,
};
/** Time for which a daemon that has relayed a request is preferred. */
const PROVEN_MS = 3_000;
/** Time after which a daemon counts as new again. */
const FORGET_MS = 30_000;
/** Maximum number of remembered daemons. */
const MAX_REMEMBERED = 2_000;

/** A daemon that may relay. */
export interface RelayCandidate {
  /** Peer address, "ip:port". */
  readonly address: string;
  readonly zone: string;
}

interface Experience {
  provenAt: number;
  refusedUntil: number;
  usedAt: number;
  /** Requests of this daemon in flight through it. */
  inFlight: number;
}

/** What one daemon has learned about the others as relays. */
export class RelaySelection {
  private readonly experiences = new Map<string, Experience>();

  constructor(
    private readonly self: string,
    private readonly zone: string,
  ) {}

  /**
   * Returns the daemon through which to send the next request: the least used by this one, a proven one before others, a near
   * one before others; undefined if all have refused lately.
   * @param excluded - Addresses that have refused this request.
   */
  choose(
    candidates: readonly RelayCandidate[],
    excluded: ReadonlySet<string>,
    now: number,
  ): string | undefined {
    let best: { readonly address: string; readonly rank: readonly number[] } | undefined;
    for (const { address, zone } of candidates) {
      if (address === this.self || excluded.has(address)) continue;
      const experience = this.experiences.get(address);
      if (experience !== undefined && experience.refusedUntil > now) continue;
      const rank = this.rankOf(address, zone, experience, now);
      if (best === undefined || isLower(rank, best.rank)) best = { address, rank };
    }
    return best?.address;
  }

  /** Whether any candidate may be chosen. */
  hasCandidate(candidates: readonly RelayCandidate[], now: number): boolean {
    return candidates.some(({ address }) => {
      const refusedUntil = this.experiences.get(address)?.refusedUntil ?? 0;
      return address !== this.self && refusedUntil <= now;
    });
  }

  /** Records that a request is sent through a daemon. */
  recordSent(address: string, now: number): void {
    const experience = this.experienceOf(address);
    experience.inFlight += 1;
    experience.usedAt = now;
  }

  /** Records that a request sent through a daemon has ended. */
  recordEnded(address: string): void {
    const experience = this.experiences.get(address);
    if (experience !== undefined) experience.inFlight = Math.max(0, experience.inFlight - 1);
  }

  /** Records that a daemon has relayed an answer. */
  recordRelayed(address: string, now: number): void {
    const experience = this.experienceOf(address);
    experience.provenAt = now;
    experience.refusedUntil = 0;
  }

  recordRefusal(address: string, refusal: RelayRefusal, now: number): void {
    const experience = this.experienceOf(address);
    if (REFUSAL_MS[refusal] === 0) return;
    experience.refusedUntil = now + REFUSAL_MS[refusal];
    if (refusal !== 'busy') experience.provenAt = -Infinity;
  }

  private rankOf(
    address: string,
    zone: string,
    experience: Experience | undefined,
    now: number,
  ): number[] {
    const isProven = experience !== undefined && now - experience.provenAt <= PROVEN_MS;
    return [
      experience?.inFlight ?? 0,
      isProven ? 0 : 1,
      zone === this.zone ? 0 : 1,
      experience?.usedAt ?? -Infinity,
      // Different daemons begin with different relays.
      rendezvousWeight(this.self, address),
    ];
  }

  private experienceOf(address: string): Experience {
    const known = this.experiences.get(address);
    if (known !== undefined) return known;
    this.removeOldest();
    const created = { provenAt: -Infinity, refusedUntil: 0, usedAt: -Infinity, inFlight: 0 };
    this.experiences.set(address, created);
    return created;
  }

  private removeOldest(): void {
    if (this.experiences.size < MAX_REMEMBERED) return;
    const newest = Math.max(...[...this.experiences.values()].map(({ usedAt }) => usedAt));
    for (const [address, { usedAt, inFlight }] of this.experiences) {
      if (inFlight === 0 && newest - usedAt > FORGET_MS) this.experiences.delete(address);
    }
  }
}

/** Whether one rank precedes another, compared element by element. */
function isLower(one: readonly number[], other: readonly number[]): boolean {
  const index = one.findIndex((value, position) => value !== other[position]);
  return index >= 0 && (one[index] ?? 0) < (other[index] ?? 0);
}
