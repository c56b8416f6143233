/** The kinds of limits that all daemons apply together: on tenants, and on backends that announce a limit. */
import { LimitLedger, type LimitWindow } from '../core/admission/limit-ledger.js';
import { PermitLedger } from '../core/admission/permit-ledger.js';
import type { HolderView, RateLedger, RateLimit } from '../core/admission/rate-ledger.js';

/** Window in which backends count arrivals under their limit. */
const BACKEND_WINDOW_MS = 4_000;

/** Properties of one kind of limit. */
export interface LimitKind {
  /** What the limit applies to; the key of its name in log lines. */
  readonly subject: 'tenant' | 'backend';
  /** Distinguishes the kinds in messages. */
  readonly isOfBackend: boolean;
  /** Prefix of lease names and of the keys that rank the holders. */
  readonly leasePrefix: string;
  /** Length of the window in which units are counted, in milliseconds. */
  readonly windowMs: number;
  /** @param startedAt - Time of the steady clock from which on the holder counts the units of all daemons. */
  makeLedger(limit: RateLimit, view: HolderView, startedAt: number): RateLedger;
}

/** Limits on tenants, which the operator configures. */
export function tenantLimitKind(window: LimitWindow): LimitKind {
  return {
    subject: 'tenant',
    isOfBackend: false,
    leasePrefix: 'limit',
    windowMs: window.windowMs,
    makeLedger: (limit, view, startedAt) => new LimitLedger(limit, window, view, startedAt),
  };
}

/** Limits that backends announce. */
export const backendLimitKind: LimitKind = {
  subject: 'backend',
  isOfBackend: true,
  leasePrefix: 'permits',
  windowMs: BACKEND_WINDOW_MS,
  makeLedger: (limit, view, startedAt) => new PermitLedger(limit, view, startedAt),
};

/** Returns the name of a limit's lease, which is also the key that ranks its holders. */
export function resourceName({ leasePrefix }: LimitKind, name: string): string {
  return `${leasePrefix}/${name}`;
}
