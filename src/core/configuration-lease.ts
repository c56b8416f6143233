/**
 * How long a daemon may rely on its configuration. A key that was taken away must not be
 * served for longer than the operator allows, also by a daemon that is cut off or was
 * frozen; so each holds a proof, the steady time up to which its configuration is known to
 * be the newest, and serves keys only while that is recent. Proofs come from the platform's
 * answers, or from a peer's: the age that the peer tells, counted back from the moment at
 * which it was asked. No clocks are compared and a message in flight lengthens nothing.
 * `spec/revocation.pml` is its model. Pure; times are milliseconds of the lease clock.
 */

import { NewestProof } from './newest-proof.js';

/** No configuration newer than `version` had been accepted at `provenAt`. */
export interface CurrencyProof {
  readonly version: number;
  /** By the lease clock of the daemon that holds the proof. */
  readonly provenAt: number;
}

/** One daemon's proof. */
export class ConfigurationLease {
  private readonly proof = new NewestProof();
  private version = 0;
  /** The best proof of a configuration that this daemon has not got yet. */
  private pending: CurrencyProof | undefined;

  /** A configuration is in force: a proof that has waited for it counts from now on. */
  configured(version: number): void {
    this.version = Math.max(this.version, version);
    const { pending } = this;
    if (pending === undefined || pending.version > this.version) return;
    this.pending = undefined;
    this.proof.prove(pending.provenAt);
  }

  /** Takes a proof; one of a newer configuration waits for it. */
  prove(proof: CurrencyProof): void {
    if (proof.version <= this.version) {
      this.proof.prove(proof.provenAt);
    } else if (this.pending === undefined || proof.provenAt > this.pending.provenAt) {
      this.pending = proof;
    }
  }

  /** Milliseconds since the configuration was proved current; infinite if it never was. */
  ageMs(now: number): number {
    return this.proof.ageMs(now);
  }
}
