/**
 * A voter's table of claimed idempotency keys, and the vote count at a router.
 * When two routers receive the same key, only one request runs: a request is sent
 * only after a quorum of voters has granted its key and no voter has refused it.
 * Performs no I/O.
 */

/** Number of voters per key. */
export const CLAIM_VOTERS = 3;
/** Number of grants required before a request is sent. */
export const CLAIM_QUORUM = 2;
/** Time after which a claim expires, in milliseconds. */
export const CLAIM_LIFETIME_MS = 10 * 60_000;

/** Request value of a key that two requests have claimed; the key is then refused to both. */
const CONTESTED = '';

/** An idempotency key claimed by a request. */
export interface KeyClaim {
  readonly tenant: string;
  readonly key: string;
  readonly request: string;
  readonly expiresAt: number;
}

/** Idempotency keys claimed at one voter. */
export class ClaimTable {
  private readonly claims = new Map<string, KeyClaim>();

  private isComplete = false;

  /** @param startedAt - Start of the voter process; claims granted before it may be lost until they expire. */
  constructor(private readonly startedAt: number) {}

  /** Whether unexpired claims may be missing from the table, because the process has restarted. */
  mayLackClaims(now: number): boolean {
    return !this.isComplete && now - this.startedAt < CLAIM_LIFETIME_MS;
  }

  /**
   * Marks the table as complete. The caller has fetched the claims of all other
   * voters, whose tables were complete, after the end of every round that could
   * still count a vote of this voter's previous process.
   */
  markComplete(): void {
    this.isComplete = true;
  }

  /** Claims a key. Returns true if the key was free or the same request already holds it. */
  claim(tenant: string, key: string, request: string, now: number): boolean {
    const id = claimId(tenant, key);
    const existing = this.claims.get(id);
    if (existing !== undefined && existing.expiresAt > now) return existing.request === request;
    this.claims.set(id, { tenant, key, request, expiresAt: now + CLAIM_LIFETIME_MS });
    return true;
  }

  /** Releases a key that the request holds. The request has not run and will never run. */
  release(tenant: string, key: string, request: string): void {
    const id = claimId(tenant, key);
    if (this.claims.get(id)?.request === request) this.claims.delete(id);
  }

  /**
   * Merges claims of another voter. If the two tables hold a key for different
   * requests, either request may have its quorum, so the key is refused to both.
   */
  merge(claims: readonly KeyClaim[], now: number): void {
    for (const claim of claims) {
      if (claim.expiresAt <= now) continue;
      const id = claimId(claim.tenant, claim.key);
      const existing = this.claims.get(id);
      const contested = existing !== undefined && existing.request !== claim.request;
      this.claims.set(id, contested ? { ...claim, request: CONTESTED } : claim);
    }
  }

  /** Deletes expired claims. */
  deleteExpired(now: number): void {
    for (const [id, claim] of this.claims) if (claim.expiresAt <= now) this.claims.delete(id);
  }

  /** Returns all claims, for transfer to another voter. */
  all(): KeyClaim[] {
    return [...this.claims.values()];
  }
}

/** Outcome of a voting round so far. */
export type ClaimOutcome = 'pending' | 'granted' | 'taken' | 'unavailable';

/** The votes on one request's idempotency key. */
export class ClaimRound {
  private readonly grants = new Map<string, boolean>();
  private refused = false;

  constructor(private readonly voters: readonly string[]) {}

  /** Counts a vote and returns the outcome so far. */
  vote(voter: string, granted: boolean, mayLackClaims: boolean): ClaimOutcome {
    if (!this.voters.includes(voter)) return this.outcome();
    if (granted) this.grants.set(voter, mayLackClaims);
    else this.refused = true;
    return this.outcome();
  }

  /**
   * A round needs grants from two voters with complete tables, or from all voters
   * if none has a complete table. A restarted voter may have lost an earlier
   * claim; if all voters have just started, the group is new and has no claims.
   */
  outcome(): ClaimOutcome {
    if (this.refused) return 'taken';
    const completeVoters = [...this.grants.values()].filter(
      (mayLackClaims) => !mayLackClaims,
    ).length;
    if (completeVoters >= CLAIM_QUORUM) return 'granted';
    const haveAllGranted =
      this.voters.length >= CLAIM_QUORUM && this.grants.size === this.voters.length;
    const isNewGroup = haveAllGranted && completeVoters === 0;
    return isNewGroup ? 'granted' : 'pending';
  }
}

function claimId(tenant: string, key: string): string {
  return `${tenant}\n${key}`;
}
