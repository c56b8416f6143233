/**
 * Renews the lease of an owner whose backends do not check epochs. Reads the owner's record
 * periodically, each time with a new request, so that the loss of one response does not end the lease.
 */
import type { Logger } from '../common/logger.js';
import type { OwnershipLease } from '../core/ownership-lease.js';
import { parseOwnerRecord } from './owner-record.js';
import type { RecordStore } from './ports.js';
import { leaseNow } from '../common/lease-clock.js';
import { steadyNow } from './steady-clock.js';

/** Interval between reads of the record, in milliseconds; a lease survives two reads without a response. */
const PROOF_PERIOD_MS = 600;
/** Maximum number of concurrent reads while the store does not respond. */
const MAX_CONCURRENT_READS = 3;

/** Options of {@link OwnershipProofs}. */
export interface OwnershipProofsOptions {
  readonly service: string;
  readonly store: RecordStore;
  readonly logger: Logger;
  readonly lease: OwnershipLease;
  /** Called when the record names another owner or is missing. */
  readonly onOtherOwner: () => void;
}

/** Requests proofs that this daemon still owns the service, for one claim at a time. */
export class OwnershipProofs {
  /** The claim by which this daemon owns the service. */
  private claim: string | undefined;
  private lastReadAt = -Infinity;
  private readsInFlight = 0;
  /** Whether the lease allowed orders at the last tick. */
  private wasHeld = false;

  constructor(private readonly options: OwnershipProofsOptions) {}

  /** Starts to prove the ownership under a claim; responses for an earlier claim are ignored. */
  begin(claim: string): void {
    this.claim = claim;
    this.lastReadAt = leaseNow();
    this.wasHeld = false;
  }

  end(): void {
    this.claim = undefined;
  }

  /** Starts a read of the record when one is due; must be called frequently. */
  tick(): void {
    if (this.claim === undefined) return;
    const now = leaseNow();
    this.logLeaseChange(now);
    if (now - this.lastReadAt < PROOF_PERIOD_MS || this.readsInFlight >= MAX_CONCURRENT_READS)
      return;
    this.lastReadAt = now;
    this.readsInFlight += 1;
    void this.read(this.claim, now).finally(() => (this.readsInFlight -= 1));
  }

  private async read(claim: string, askedAt: number): Promise<void> {
    const { store, service, lease, onOtherOwner } = this.options;
    const response = await store.read('owners', service);
    if (response.isErr || claim !== this.claim) return;
    if (parseOwnerRecord(response.value?.value)?.claim === claim) return lease.addProof(askedAt);
    onOtherOwner();
  }

  private logLeaseChange(now: number): void {
    const { service, logger, lease } = this.options;
    const holds = lease.allowsOrder(now, steadyNow());
    if (holds === this.wasHeld) return;
    this.wasHeld = holds;
    const event = holds ? 'ownership_lease_begun' : 'ownership_lease_lost';
    logger.warn(event, { service, proofAgeMs: Math.round(lease.ageMs(now)) });
  }
}
