/** Time of the newest proof of a lease. Performs no I/O; times are milliseconds of the lease clock. */

/** The newest of several proofs. A proof is dated by the time at which its request was sent. */
export class NewestProof {
  private provenAt = -Infinity;

  /** Adds a proof. A proof older than the current one is ignored. */
  add(requestedAt: number): void {
    this.provenAt = Math.max(this.provenAt, requestedAt);
  }

  /** Milliseconds since the request of the newest proof was sent; infinite without a proof. */
  ageMs(now: number): number {
    return now - this.provenAt;
  }
}
