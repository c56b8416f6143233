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
  /** It relays as many requests as it may, or has no memory for the request's body. */
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
/**
 * Time within which a daemon acknowledges a request that it is to relay. The kernel of one whose process is paused still accepts
 * connections.
 */
const ACKNOWLEDGEMENT_MS = 300;
/** Time after an unacknowledged request after which a daemon may be chosen again. */
const SILENT_MS = 2_000;
/** Longest time for which a daemon that is partitioned is left out. */
const MAX_PARTITIONED_MS = 8_000;
/** Cost of a daemon that is not proven, in requests in flight through a proven one. */
const UNPROVEN_COST = 3;
/** Number of daemons that may refuse a request before only proven ones are chosen. */
const MAX_EXPLORED = 2;
/** Maximum number of remembered daemons. */
const MAX_REMEMBERED = 2_000;

/** A daemon that may relay. */
export interface RelayCandidate {
  /** Peer address, "ip:port". */
  readonly address: string;
  readonly zone: string;
}

interface Experience {
  /** Time at which it last relayed an answer. */
  provenAt: number;
  /** Time for which it was left out after it was last found partitioned; 0 if it has relayed since. */
  refusalMs: number;
  refusedUntil: number;
  usedAt: number;
  /** Time of the first request that it has not acknowledged; undefined if it has answered anything since. */
  unacknowledgedSince: number | undefined;
  /** Requests of this daemon in flight through it. */
  inFlight: number;
}

/** What one daemon has learned about the others as relays. */
export class RelaySelection {
  private readonly experiences = new Map<string, Experience>();
  private readonly weights = new Map<string, number>();

  constructor(
    private readonly self: string,
    private readonly zone: string,
  ) {}

  /**
   * Returns the daemon through which to send the next request: the one with the lowest cost, a near one before others, the least
   * recently used one first; undefined if all have refused lately.
   * @param excluded - Addresses that have refused this request. After a few of them only proven daemons are chosen, if there are any.
   */
  choose(
    candidates: readonly RelayCandidate[],
    excluded: ReadonlySet<string>,
    now: number,
  ): string | undefined {
    const usable = candidates.filter(({ address }) => {
      if (address === this.self || excluded.has(address)) return false;
      return this.mayBeChosen(address, now);
    });
    const proven = usable.filter(({ address }) => this.isProven(address, now));
    const onlyProven = excluded.size >= MAX_EXPLORED && proven.length > 0;
    let best: RelayCandidate | undefined;
    for (const candidate of onlyProven ? proven : usable) {
      if (best === undefined || this.precedes(candidate, best, now)) best = candidate;
    }
    return best?.address;
  }

  /** Whether any candidate may be chosen. */
  hasCandidate(candidates: readonly RelayCandidate[], now: number): boolean {
    return candidates.some(({ address }) => {
      return address !== this.self && this.mayBeChosen(address, now);
    });
  }

  /** Records that a request is sent through a daemon. */
  recordSent(address: string, now: number): void {
    const experience = this.experienceOf(address);
    experience.inFlight += 1;
    experience.usedAt = now;
    const { unacknowledgedSince = -Infinity } = experience;
    if (now - unacknowledgedSince > SILENT_MS) experience.unacknowledgedSince = now;
  }

  /** Records that a daemon has answered anything: its process runs. */
  recordAcknowledged(address: string): void {
    const experience = this.experiences.get(address);
    if (experience !== undefined) experience.unacknowledgedSince = undefined;
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
    experience.unacknowledgedSince = undefined;
    experience.refusedUntil = 0;
    experience.refusalMs = 0;
  }

  /** Records that a daemon did not relay. One that is partitioned again and again is left out for longer each time. */
  recordRefusal(address: string, refusal: RelayRefusal, now: number): void {
    const experience = this.experienceOf(address);
    experience.unacknowledgedSince = undefined;
    if (REFUSAL_MS[refusal] === 0) return;
    const isRepeated = refusal === 'partitioned' && experience.refusalMs > 0;
    const doubledMs = Math.min(MAX_PARTITIONED_MS, experience.refusalMs * 2);
    const refusalMs = isRepeated ? doubledMs : REFUSAL_MS[refusal];
    experience.refusalMs = refusal === 'partitioned' ? refusalMs : 0;
    experience.refusedUntil = now + refusalMs;
    if (refusal !== 'busy') experience.provenAt = -Infinity;
  }

  /** Whether a daemon has neither refused lately nor left a request unacknowledged. */
  private mayBeChosen(address: string, now: number): boolean {
    const experience = this.experiences.get(address);
    if (experience === undefined) return true;
    if (experience.refusedUntil > now) return false;
    const silentMs = now - (experience.unacknowledgedSince ?? Infinity);
    return silentMs < ACKNOWLEDGEMENT_MS || silentMs > SILENT_MS;
  }

  private isProven(address: string, now: number): boolean {
    return now - (this.experiences.get(address)?.provenAt ?? -Infinity) <= PROVEN_MS;
  }

  private precedes(one: RelayCandidate, other: RelayCandidate, now: number): boolean {
    const cost = this.costOf(one.address, now) - this.costOf(other.address, now);
    if (cost !== 0) return cost < 0;
    if ((one.zone === this.zone) !== (other.zone === this.zone)) return one.zone === this.zone;
    const usedAt = this.usedAt(one.address) - this.usedAt(other.address);
    if (usedAt < 0 || usedAt > 0) return usedAt < 0;
    return this.weightOf(one.address) < this.weightOf(other.address);
  }

  /** Requests in flight through a daemon, and the risk that it refuses, as a number of requests. */
  private costOf(address: string, now: number): number {
    const inFlight = this.experiences.get(address)?.inFlight ?? 0;
    return inFlight + (this.isProven(address, now) ? 0 : UNPROVEN_COST);
  }

  private usedAt(address: string): number {
    return this.experiences.get(address)?.usedAt ?? -Infinity;
  }

  /** Different daemons begin with different relays. */
  private weightOf(address: string): number {
    const known = this.weights.get(address);
    if (known !== undefined) return known;
    if (this.weights.size >= MAX_REMEMBERED) this.weights.clear();
    const weight = rendezvousWeight(this.self, address);
    this.weights.set(address, weight);
    return weight;
  }

  private experienceOf(address: string): Experience {
    const known = this.experiences.get(address);
    if (known !== undefined) return known;
    this.removeOldest();
    const created: Experience = {
      provenAt: -Infinity,
      refusalMs: 0,
      refusedUntil: 0,
      usedAt: -Infinity,
      unacknowledgedSince: undefined,
      inFlight: 0,
    };
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
