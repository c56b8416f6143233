/**
 * Keeps the lease of an owner whose backends do not check epochs: reads the owner's record again and
 * again, each time with a new question, so that one lost answer costs nothing.
 */
import type { Logger } from '../common/logger.js';
import type { OwnershipLease } from '../core/ownership-lease.js';
import { ownerRecord } from './owner-record.js';
import type { RecordStore } from './ports.js';
import { leaseNow } from '../common/lease-clock.js';
import { steadyNow } from './steady-clock.js';

/** Between two readings of the record: a lease outlasts two that are not answered. */
const PROOF_PERIOD_MS = 600;
/** Readings under way at once, of a store that does not answer. */
const MOST_OPEN_READINGS = 3;

/** Options of {@link OwnershipProofs}. */
export interface OwnershipProofsOptions {
  readonly service: string;
  readonly store: RecordStore;
  readonly logger: Logger;
  readonly lease: OwnershipLease;
  /** The record names another owner. */
  readonly onOtherOwner: () => void;
}

/** Asks for the proofs of one ownership at a time. */
export class OwnershipProofs {
  /** The claim by which this daemon owns the service. */
  private claim: string | undefined;
  private askedAt = -Infinity;
  private readings = 0;
  /** Whether the lease held at the last look. */
  private held = false;

  constructor(private readonly options: OwnershipProofsOptions) {}

  /** Begins to prove an ownership; an answer for a former one counts no more. */
  begin(claim: string): void {
    this.claim = claim;
    this.askedAt = leaseNow();
    this.held = false;
  }

  end(): void {
    this.claim = undefined;
  }

  /** Looks at the clock; call it often. */
  tick(): void {
    if (this.claim === undefined) return;
    const now = leaseNow();
    this.logChange(now);
    if (now - this.askedAt < PROOF_PERIOD_MS || this.readings >= MOST_OPEN_READINGS) return;
    this.askedAt = now;
    this.readings += 1;
    void this.read(this.claim, now).finally(() => (this.readings -= 1));
  }

  private async read(claim: string, askedAt: number): Promise<void> {
    const { store, service, lease, onOtherOwner } = this.options;
    const answer = await store.read('owners', service);
    if (answer.isErr || claim !== this.claim) return;
    if (ownerRecord(answer.value?.value)?.claim === claim) return lease.addProof(askedAt);
    onOtherOwner();
  }

  private logChange(now: number): void {
    const { service, logger, lease } = this.options;
    const holds = lease.allowsOrder(now, steadyNow());
    if (holds === this.held) return;
    this.held = holds;
    const event = holds ? 'ownership_lease_begun' : 'ownership_lease_lost';
    logger.warn(event, { service, proofAgeMs: Math.round(lease.ageMs(now)) });
  }
}
