/** One request's standing with its tenant: whose key it has, and the units taken from the tenant's limit. */
import type { CallerTenant, Route } from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead } from './ports.js';

/** A caller comes back after so long when nobody who counts its tenant's limit has answered. */
const LIMIT_UNKNOWN_MS = 500;

/** Why a request may not go on. */
export interface PassDenial {
  readonly kind: 'unauthorized' | 'not_ready' | 'rate_limited';
  readonly retryAfterMs: number | undefined;
  /** What it was decided on, for the log. */
  readonly inputs: Readonly<Record<string, string | number | undefined>>;
}

/** Keeps the standing of one request. */
export class TenantPass {
  /** Undefined if the caller needs no key, or has not been asked for it yet. */
  tenant: CallerTenant | undefined;
  /** What was taken from a tenant's limit. */
  private charge: { readonly tenant: string; readonly units: number } | undefined;
  private isOver = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly route: Route,
    private readonly head: RequestHead,
  ) {}

  /** Asks before each send: undefined if the request may be sent now. */
  deniedKey(): PassDenial | undefined {
    const { admission } = this.context;
    const answer = admission.check(this.route, this.head.keyDigest);
    if (answer.type === 'admitted') {
      this.tenant = answer.tenant;
      return undefined;
    }
    const { kind, retryAfterMs } = answer;
    return { kind, retryAfterMs, inputs: { proofAgeMs: admission.proofAgeMs() } };
  }

  /** Takes the request's units from its tenant's limit; calls back at once or after a holder's word. */
  takeUnits(answer: (denial: PassDenial | undefined) => void): void {
    const { limits } = this.context;
    const limit = this.tenant?.limit;
    const name = this.tenant?.name;
    if (limit === undefined || name === undefined) return answer(undefined);
    const units = (limit.unit === 'requests' ? 1 : this.head.tokens) ?? limit.defaultCharge;
    limits.admit(name, units, (decision) => {
      if (decision.type === 'granted') {
        this.charge = { tenant: name, units };
        if (this.isOver) this.giveBack();
        return answer(undefined);
      }
      const inputs = { units, holder: limits.holderOf(name) };
      if (decision.type === 'over_limit') {
        return answer({ kind: 'rate_limited', retryAfterMs: decision.retryAfterMs, inputs });
      }
      answer({ kind: 'not_ready', retryAfterMs: LIMIT_UNKNOWN_MS, inputs });
    });
  }

  /**
   * The request has ended. The limit counts requests that run: what was taken for one that
   * has not is given back, also when the holder's word comes later.
   */
  end(mayHaveRun: boolean): void {
    this.isOver = true;
    if (!mayHaveRun) this.giveBack();
  }

  private giveBack(): void {
    const { charge } = this;
    if (charge === undefined) return;
    this.charge = undefined;
    this.context.limits.giveBack(charge.tenant, charge.units);
  }
}
