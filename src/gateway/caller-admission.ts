/**
 * Whether a caller may be served now: by its key, and by the lease on the configuration
 * that knows the keys. Asked again before each send to a backend, for the key may have been
 * taken away while the request waited, or while the daemon stood still.
 */
import { leaseNow } from '../common/lease-clock.js';
import { KeyRing } from '../core/admission/api-keys.js';
import type { Logger } from '../common/logger.js';
import type { ConfigurationLease } from '../core/configuration-lease.js';
import type { CallerTenant, Route, ServiceConfiguration } from '../core/service-configuration.js';

/** A caller that is refused for want of a current configuration comes back after so long. */
const COME_BACK_MS = 400;
/** Taken off the operator's bounds: for what lies between a look at the lease and the send. */
const LEASE_MARGIN_MS = 500;

/** What may happen to a request. */
export type Admission =
  /** `tenant` is undefined if the route needs no key. */
  { readonly type: 'admitted'; readonly tenant: CallerTenant | undefined } | Denial<'unauthorized'>;

/** Why a request is not served, and when its caller may come back: later, if the configuration may be old. */
export interface Denial<Kind> {
  readonly type: 'refused';
  readonly kind: Kind | 'not_ready';
  readonly retryAfterMs: number | undefined;
}

/** Options of {@link CallerAdmission}. */
export interface CallerAdmissionOptions {
  readonly lease: ConfigurationLease;
  readonly logger: Logger;
  /** A key may be served for so long after it was taken away; infinite if the operator sets no bound. */
  readonly revocationMs: number;
  /** A new configuration is in force everywhere after so long; infinite if the operator sets no bound. */
  readonly configurationMs: number;
  /** Whether the configuration in force here may be taken for the newest, where no lease proves it. */
  readonly isInformed: () => boolean;
  /** The lease is over, or a caller asks for what this daemon's configuration lacks. */
  readonly onDoubt: () => void;
}

/** Admission by one daemon. */
export class CallerAdmission {
  private keys: KeyRing<CallerTenant> | undefined;
  private readonly tenants = new Map<string, CallerTenant>();
  /** Whether the lease held at the last look. */
  private hadLease = false;

  constructor(private readonly options: CallerAdmissionOptions) {}

  /** Puts a configuration's keys in force. */
  configure({ tenants }: ServiceConfiguration): void {
    this.tenants.clear();
    for (const tenant of tenants ?? []) this.tenants.set(tenant.name, tenant);
    this.keys =
      tenants &&
      new KeyRing(
        tenants.flatMap((tenant) => tenant.keyDigests.map((digest) => [digest, tenant] as const)),
      );
  }

  /** Whether callers need keys, so that the lease is kept. */
  get needsKeys(): boolean {
    return this.keys !== undefined;
  }

  /** Whether the lease is asked for before each send. */
  get needsLease(): boolean {
    return this.needsKeys && Number.isFinite(this.options.revocationMs);
  }

  /** The tenant of a name. */
  tenant(name: string): CallerTenant | undefined {
    return this.tenants.get(name);
  }

  /** Whether a request on the route, with a key of this digest, may be sent now. */
  check(route: Route, keyDigest: string | undefined): Admission {
    if (this.keys === undefined || route.isPublic) return { type: 'admitted', tenant: undefined };
    if (this.needsLease && !this.hasLease()) return this.doubt();
    const tenant = keyDigest === undefined ? undefined : this.keys.ownerOf(keyDigest);
    if (tenant !== undefined) return { type: 'admitted', tenant };
    return this.deny('unauthorized');
  }

  /** What the caller of a route is told that stands in no configuration known here. */
  denyRoute(): Denial<'not_found'> {
    return this.deny('not_found');
  }

  private deny<Kind>(kind: Kind): Denial<Kind> {
    return this.mayDeny() ? { type: 'refused', kind, retryAfterMs: undefined } : this.doubt();
  }

  /** Whether the configuration is new enough to say that something does not exist. */
  private mayDeny(): boolean {
    if (!this.needsLease) return this.options.isInformed();
    const limitMs = Math.min(this.options.configurationMs, this.options.revocationMs);
    return this.options.lease.ageMs(leaseNow()) <= limitMs - LEASE_MARGIN_MS;
  }

  private hasLease(): boolean {
    const { lease, logger, revocationMs } = this.options;
    const ageMs = lease.ageMs(leaseNow());
    const holds = ageMs <= revocationMs - LEASE_MARGIN_MS;
    if (holds !== this.hadLease) {
      this.hadLease = holds;
      const event = holds ? 'configuration_lease_regained' : 'configuration_lease_lost';
      logger.warn(event, { ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined });
    }
    return holds;
  }

  /** Age of the proof that the configuration is current; undefined if none is needed or there is none. */
  proofAgeMs(): number | undefined {
    const ageMs = this.options.lease.ageMs(leaseNow());
    return this.needsLease && Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }

  private doubt(): Denial<never> {
    if (this.needsLease) this.options.onDoubt();
    return { type: 'refused', kind: 'not_ready', retryAfterMs: COME_BACK_MS };
  }
}
