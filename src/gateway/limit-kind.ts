/** What differs between the limits that daemons keep together: on tenants, and on backends that name one. */
import { LimitLedger, type LimitWindow } from '../core/admission/limit-ledger.js';
import { PermitLedger } from '../core/admission/permit-ledger.js';
import type { HolderView, RateLedger, RateLimit } from '../core/admission/rate-ledger.js';

/** Milliseconds in which backends count arrivals under their limit. */
const BACKEND_WINDOW_MS = 4_000;

/** Limits of one kind. */
export interface LimitKind {
  /** Names what a limit is on, as the key of log lines. */
  readonly subject: 'tenant' | 'backend';
  /** Tells the kinds apart in messages. */
  readonly isOfBackend: boolean;
  /** Names of leases, and ranks of holders, begin with it. */
  readonly leasePrefix: string;
  /** Milliseconds in which units are counted. */
  readonly windowMs: number;
  /** @param startedAt - Steady time from which on the holder counts for all. */
  makeLedger(limit: RateLimit, view: HolderView, startedAt: number): RateLedger;
}

/** Limits that the operator gives tenants. */
export function tenantLimitKind(window: LimitWindow): LimitKind {
  return {
    subject: 'tenant',
    isOfBackend: false,
    leasePrefix: 'limit',
    windowMs: window.windowMs,
    makeLedger: (limit, view, startedAt) => new LimitLedger(limit, window, view, startedAt),
  };
}

/** Limits that backends name. */
export const backendLimitKind: LimitKind = {
  subject: 'backend',
  isOfBackend: true,
  leasePrefix: 'permits',
  windowMs: BACKEND_WINDOW_MS,
  makeLedger: (limit, view, startedAt) => new PermitLedger(limit, view, startedAt),
};

/** The name under which a limit is held: of its lease, and of its holder's rank. */
export function heldName({ leasePrefix }: LimitKind, name: string): string {
  return `${leasePrefix}/${name}`;
}
