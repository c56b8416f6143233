/**
 * Limits how long an owner may send orders to backends that do not check epochs. Such backends would
 * accept orders of a former owner, so an owner sends orders only while it holds a proof, younger than
 * ORDER_LEASE_MS, that no other daemon had claimed the service after it. A new owner sends no order for
 * TAKEOVER_DELAY_MS after its claim. A proof is dated by the time at which its request was sent, so no
 * clocks of two machines are compared and the latency of a response never extends the lease. The model
 * is `spec/ownership.pml`. Performs no I/O. Times are milliseconds: ages of proofs by the lease clock, which counts
 * the time for which a machine was suspended; the delay by the steady clock, which may not count it.
 */
import { NewestProof } from './newest-proof.js';

/** Time for which a proof allows orders after its request was sent, in milliseconds; long enough for two requests to go unanswered. */
export const ORDER_LEASE_MS = 1_500;
/** An order without an answer is abandoned, and its connection reset, within this time after it was sent. */
const ORDER_IN_FLIGHT_MS = 800;
/** Delay before a new owner's first order, in milliseconds: a former owner may have sent an order at the end of its lease. */
export const TAKEOVER_DELAY_MS = ORDER_LEASE_MS + ORDER_IN_FLIGHT_MS;

/** A successful claim of a service. */
export interface SuccessfulClaim {
  /** Time at which the claim was sent, by the lease clock. */
  readonly askedAt: number;
  /** Time at which the response arrived, by the steady clock. */
  readonly answeredAt: number;
  /** Whether all former owners are known to have sent their last orders. */
  readonly isHandedOver: boolean;
}

/** The lease of one owner. */
export class OwnershipLease {
  private proof = new NewestProof();
  private ordersAllowedAt = Infinity;

  /** Starts a lease after a successful claim. */
  begin(claim: SuccessfulClaim): void {
    this.proof = new NewestProof();
    this.proof.add(claim.askedAt);
    this.ordersAllowedAt =
      claim.answeredAt + (claim.isHandedOver ? ORDER_IN_FLIGHT_MS : TAKEOVER_DELAY_MS);
  }

  /** Adds a proof that no other daemon had claimed the service after this owner at `askedAt`. */
  addProof(askedAt: number): void {
    this.proof.add(askedAt);
  }

  /** Milliseconds since the request of the newest proof was sent; infinite without a proof. */
  ageMs(now: number): number {
    return this.proof.ageMs(now);
  }

  /** Milliseconds until an order may be sent; 0 if it may be sent now, infinite without a recent proof. */
  orderDelayMs(leaseNow: number, steadyNow: number): number {
    return this.ageMs(leaseNow) > ORDER_LEASE_MS
      ? Infinity
      : Math.max(0, this.ordersAllowedAt - steadyNow);
  }

  /** Whether an order may be sent now. */
  allowsOrder(leaseNow: number, steadyNow: number): boolean {
    return this.orderDelayMs(leaseNow, steadyNow) === 0;
  }
}
