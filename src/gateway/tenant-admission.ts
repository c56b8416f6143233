/** Admission of one request for its tenant: the key check, and the units charged to the tenant's rate limit. */
import type { CallerTenant, Route } from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead } from './ports.js';

/** Retry time for callers when no daemon that holds the tenant's rate limit has replied. */
const LIMIT_UNKNOWN_MS = 500;

/** Why a request is denied. */
export interface TenantDenial {
  readonly kind: 'unauthorized' | 'not_ready' | 'rate_limited';
  readonly retryAfterMs: number | undefined;
  /** Inputs of the decision, for the log. */
  readonly inputs: Readonly<Record<string, string | number | undefined>>;
}

/** Admission state of one request. */
export class TenantAdmission {
  /** Undefined if the caller needs no key, or if its key was not checked yet. */
  tenant: CallerTenant | undefined;
  /** Units charged to a tenant's rate limit. */
  private charge: { readonly tenant: string; readonly units: number } | undefined;
  private hasEnded = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly route: Route,
    private readonly head: RequestHead,
  ) {}

  /** Checks the key; call it before each send. Returns undefined if the request may be sent now. */
  checkKey(): TenantDenial | undefined {
    const { admission } = this.context;
    const result = admission.check(this.route, this.head.keyDigest);
    if (result.type === 'admitted') {
      this.tenant = result.tenant;
      return undefined;
    }
    const { kind, retryAfterMs } = result;
    return { kind, retryAfterMs, inputs: { proofAgeMs: admission.proofAgeMs() } };
  }

  /**
   * Charges the request's units to its tenant's limit. Calls `done` at once, or after a limit holder has
   * replied.
   */
  chargeUnits(done: (denial: TenantDenial | undefined) => void): void {
    const { limits } = this.context;
    const limit = this.tenant?.limit;
    const name = this.tenant?.name;
    if (limit === undefined || name === undefined) return done(undefined);
    const units = (limit.unit === 'requests' ? 1 : this.head.tokens) ?? limit.defaultCharge;
    limits.admit(name, units, (decision) => {
      if (decision.type === 'granted') {
        this.charge = { tenant: name, units };
        if (this.hasEnded) this.refund();
        return done(undefined);
      }
      const inputs = { units, holder: limits.holderOf(name) };
      if (decision.type === 'over_limit') {
        return done({ kind: 'rate_limited', retryAfterMs: decision.retryAfterMs, inputs });
      }
      done({ kind: 'not_ready', retryAfterMs: LIMIT_UNKNOWN_MS, inputs });
    });
  }

  /**
   * Records that the request has ended. The limit counts only requests that run, so the units of a
   * request that did not run are refunded, also if the holder's reply arrives later.
   */
  end(mayHaveRun: boolean): void {
    this.hasEnded = true;
    if (!mayHaveRun) this.refund();
  }

  private refund(): void {
    const { charge } = this;
    if (charge === undefined) return;
    this.charge = undefined;
    this.context.limits.giveBack(charge.tenant, charge.units);
  }
}
