/** When something was last proved. Pure; times are milliseconds of the lease clock. */

/** The newest of several proofs, each counted from the moment at which its question was asked. */
export class NewestProof {
  private provenAt = -Infinity;

  /** Takes a proof; an older one than is held changes nothing. */
  prove(askedAt: number): void {
    this.provenAt = Math.max(this.provenAt, askedAt);
  }

  /** Milliseconds since the newest proof's question; infinite without one. */
  ageMs(now: number): number {
    return now - this.provenAt;
  }
}
