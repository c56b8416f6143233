/**
 * A voter's table of idempotency keys, and the count of votes at a router. The
 * same key through two routers runs once: a request is sent only after a quorum
 * of voters has granted its key and none has refused it. Pure.
 */

/** Voters asked for each key. */
export const CLAIM_VOTERS = 3;
/** Grants needed before a request is sent. */
export const CLAIM_QUORUM = 2;
/** Milliseconds that a key stays claimed. */
export const CLAIM_LIFETIME_MS = 10 * 60_000;

/** Stands in place of a request when a key was claimed for two: neither is granted any more. */
const CONTESTED = '';

/** A key that a request holds. */
export interface KeyClaim {
  readonly tenant: string;
  readonly key: string;
  readonly request: string;
  readonly expiresAt: number;
}

/** Keys claimed at one voter. */
export class ClaimTable {
  private readonly claims = new Map<string, KeyClaim>();

  private informed = false;

  /** `startedAt`: a voter younger than a claim's lifetime may have forgotten claims. */
  constructor(private readonly startedAt: number) {}

  /** Whether the voter may not know all claims that still count. */
  isYoung(now: number): boolean {
    return !this.informed && now - this.startedAt < CLAIM_LIFETIME_MS;
  }

  /**
   * The voter has pulled the claims of all others, none of them young, after
   * every round that could count a vote of the process before it was over.
   */
  markInformed(): void {
    this.informed = true;
  }

  /** Grants a key that is free or already held by the same request. */
  claim(tenant: string, key: string, request: string, now: number): boolean {
    const id = claimId(tenant, key);
    const held = this.claims.get(id);
    if (held !== undefined && held.expiresAt > now) return held.request === request;
    this.claims.set(id, { tenant, key, request, expiresAt: now + CLAIM_LIFETIME_MS });
    return true;
  }

  /** Gives a key back that the request holds; it has not run and never will. */
  release(tenant: string, key: string, request: string): void {
    const id = claimId(tenant, key);
    if (this.claims.get(id)?.request === request) this.claims.delete(id);
  }

  /**
   * Takes over claims from another voter. Where the two know a key for
   * different requests, either may have its quorum: the key is refused to both.
   */
  adopt(claims: readonly KeyClaim[], now: number): void {
    for (const claim of claims) {
      if (claim.expiresAt <= now) continue;
      const id = claimId(claim.tenant, claim.key);
      const held = this.claims.get(id);
      const contested = held !== undefined && held.request !== claim.request;
      this.claims.set(id, contested ? { ...claim, request: CONTESTED } : claim);
    }
  }

  /** Drops what has expired. */
  expire(now: number): void {
    for (const [id, claim] of this.claims) if (claim.expiresAt <= now) this.claims.delete(id);
  }

  /** All claims, for a hand-over. */
  all(): KeyClaim[] {
    return [...this.claims.values()];
  }
}

/** How a round of votes stands. */
export type ClaimOutcome = 'pending' | 'granted' | 'taken' | 'unavailable';

/** The votes for one request's key. */
export class ClaimRound {
  private readonly grants = new Map<string, boolean>();
  private refused = false;

  constructor(private readonly voters: readonly string[]) {}

  /** Counts a vote and says how the round stands. */
  vote(voter: string, granted: boolean, young: boolean): ClaimOutcome {
    if (!this.voters.includes(voter)) return this.outcome();
    if (granted) this.grants.set(voter, young);
    else this.refused = true;
    return this.outcome();
  }

  /**
   * Two voters who remember, or all of them young: a young voter may have
   * forgotten an earlier claim, but where all are, the group itself is new.
   */
  outcome(): ClaimOutcome {
    if (this.refused) return 'taken';
    const remembering = [...this.grants.values()].filter((young) => !young).length;
    if (remembering >= CLAIM_QUORUM) return 'granted';
    const areAll = this.voters.length >= CLAIM_QUORUM && this.grants.size === this.voters.length;
    const isNewGroup = areAll && remembering === 0;
    return isNewGroup ? 'granted' : 'pending';
  }
}

function claimId(tenant: string, key: string): string {
  return `${tenant}\n${key}`;
}
