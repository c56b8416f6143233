/**
 * Limits how long a daemon may rely on its configuration. A revoked key must not be served
 * for longer than the operator allows, even by a daemon that is partitioned or was suspended.
 * Each daemon therefore holds a proof: the time up to which its configuration is known to be
 * the newest. It serves keys only while that time is recent. Proofs come from responses of
 * the platform, or from a peer, which reports the age of its own proof; the daemon subtracts
 * this age from the time at which it sent the request. So no clocks of two machines are
 * compared, and the latency of a message never extends a lease. The model is
 * `spec/revocation.pml`. Performs no I/O; times are milliseconds of the lease clock.
 */

import { NewestProof } from './newest-proof.js';

/** States that at `provenAt` the platform had accepted no configuration newer than `version`. */
export interface ConfigurationProof {
  readonly version: number;
  /** Milliseconds of the lease clock of the daemon that holds the proof. */
  readonly provenAt: number;
}

/** The configuration lease of one daemon. */
export class ConfigurationLease {
  private readonly proof = new NewestProof();
  private version = 0;
  /** The newest proof for a configuration that this daemon has not received yet. */
  private pending: ConfigurationProof | undefined;

  /** Records that a configuration is in force, and applies the pending proof if it is for this version or an older one. */
  setVersion(version: number): void {
    this.version = Math.max(this.version, version);
    const { pending } = this;
    if (pending === undefined || pending.version > this.version) return;
    this.pending = undefined;
    this.proof.add(pending.provenAt);
  }

  /** Adds a proof. A proof for a newer configuration stays pending until that configuration is in force. */
  addProof(proof: ConfigurationProof): void {
    if (proof.version <= this.version) {
      this.proof.add(proof.provenAt);
    } else if (this.pending === undefined || proof.provenAt > this.pending.provenAt) {
      this.pending = proof;
    }
  }

  /** Milliseconds since the configuration was last proven to be the newest; infinite without a proof. */
  ageMs(now: number): number {
    return this.proof.ageMs(now);
  }
}
