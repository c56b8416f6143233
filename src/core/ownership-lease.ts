/**
 * How long an owner may give orders where backends do not check epochs. Then nothing but the owner
 * itself can end its orders, so it gives them only while it holds a proof, younger than HOLD_MS, that
 * nobody had claimed the service after it; and whoever claims it gives no order for HAND_OVER_MS. A
 * proof counts from the moment at which its question was asked: no clocks are compared, and an
 * answer in flight lengthens nothing. `spec/ownership.pml` is its model. Pure; times are milliseconds: a proof's of the
 * lease clock, which counts the time for which a machine was suspended, and the wait's of the steady one, which may count less.
 */
import { NewestProof } from './newest-proof.js';

/** A proof allows orders for so long after its question: two questions may get no answer. */
export const HOLD_MS = 1_500;
/** An order without an answer is given up, and its connection reset, within so long of its sending. */
const ORDER_ON_ITS_WAY_MS = 800;
/** A new owner waits so long after its claim: a former one may have sent an order at the end of its lease. */
export const HAND_OVER_MS = HOLD_MS + ORDER_ON_ITS_WAY_MS;

/** A claim that was won. */
export interface WonClaim {
  /** By the lease clock. */
  readonly askedAt: number;
  /** By the steady clock. */
  readonly answeredAt: number;
  /** All former owners are known to have given their last orders. */
  readonly isHandedOver: boolean;
}

/** The lease of one owner. */
export class OwnershipLease {
  private proof = new NewestProof();
  private ordersFrom = Infinity;

  /** Begins a new ownership. */
  begin(claim: WonClaim): void {
    this.proof = new NewestProof();
    this.proof.prove(claim.askedAt);
    this.ordersFrom = claim.answeredAt + (claim.isHandedOver ? ORDER_ON_ITS_WAY_MS : HAND_OVER_MS);
  }

  /** Nobody had claimed the service after this owner at `askedAt`. */
  prove(askedAt: number): void {
    this.proof.prove(askedAt);
  }

  /** Milliseconds since the last proof's question. */
  ageMs(now: number): number {
    return this.proof.ageMs(now);
  }

  /** Milliseconds until an order may be sent: 0 for now, infinite without a recent proof. */
  delayMs(leaseNow: number, steadyNow: number): number {
    return this.ageMs(leaseNow) > HOLD_MS ? Infinity : Math.max(0, this.ordersFrom - steadyNow);
  }

  /** Whether an order may be sent now. */
  holds(leaseNow: number, steadyNow: number): boolean {
    return this.delayMs(leaseNow, steadyNow) === 0;
  }
}
