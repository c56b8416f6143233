/**
 * Decides whether a caller may be served now: by its key, and by the lease on the configuration
 * that contains the keys. The check is repeated before each send to a backend, because the key may
 * have been revoked while the request waited or while the daemon's process was suspended.
 */
import { leaseNow } from '../common/lease-clock.js';
import { KeyRing } from '../core/admission/api-keys.js';
import type { Logger } from '../common/logger.js';
import type { ConfigurationLease } from '../core/configuration-lease.js';
import type { CallerTenant, Route, ServiceConfiguration } from '../core/service-configuration.js';

/** Retry time for callers that are refused because the configuration may be out of date. */
const NOT_READY_RETRY_MS = 400;
/** Subtracted from the operator's bounds to cover the time between the lease check and the send. */
const LEASE_MARGIN_MS = 500;

/** Result of an admission check. */
export type Admission =
  /** `tenant` is undefined if the route needs no key. */
  { readonly type: 'admitted'; readonly tenant: CallerTenant | undefined } | Denial<'unauthorized'>;

/**
 * Why a request is refused, and after how long its caller may retry. The retry time is set if the configuration
 * may be out of date.
 */
export interface Denial<Kind> {
  readonly type: 'refused';
  readonly kind: Kind | 'not_ready';
  readonly retryAfterMs: number | undefined;
}

/** Options of {@link CallerAdmission}. */
export interface CallerAdmissionOptions {
  readonly lease: ConfigurationLease;
  readonly logger: Logger;
  /** Maximum time for which a key is accepted after it was revoked; infinite if the operator sets no bound. */
  readonly revocationMs: number;
  /**
   * Maximum time until a new configuration is in force at all daemons; infinite if the operator sets no bound.
   */
  readonly configurationMs: number;
  /** Returns whether this daemon's configuration may be assumed to be the newest if no lease proves it. */
  readonly isProbablyCurrent: () => boolean;
  /**
   * Called when the lease has expired, or when a request needs something that this daemon's configuration
   * lacks.
   */
  readonly onMaybeStale: () => void;
}

/** Admission checks of one daemon. */
export class CallerAdmission {
  private keys: KeyRing<CallerTenant> | undefined;
  private readonly tenants = new Map<string, CallerTenant>();
  /** Whether the lease was valid at the last check. */
  private wasLeaseValid = false;

  constructor(private readonly options: CallerAdmissionOptions) {}

  /** Applies the keys of a configuration. */
  configure({ tenants }: ServiceConfiguration): void {
    this.tenants.clear();
    for (const tenant of tenants ?? []) this.tenants.set(tenant.name, tenant);
    this.keys =
      tenants &&
      new KeyRing(
        tenants.flatMap((tenant) => tenant.keyDigests.map((digest) => [digest, tenant] as const)),
      );
  }

  /** Whether callers need keys, so that the lease must be renewed. */
  get needsKeys(): boolean {
    return this.keys !== undefined;
  }

  /** Whether the lease is checked before each send. */
  get needsLease(): boolean {
    return this.needsKeys && Number.isFinite(this.options.revocationMs);
  }

  /** Returns the tenant with this name. */
  tenant(name: string): CallerTenant | undefined {
    return this.tenants.get(name);
  }

  /** Checks whether a request on the route with a key of this digest may be sent now. */
  check(route: Route, keyDigest: string | undefined): Admission {
    if (this.keys === undefined || route.isPublic) return { type: 'admitted', tenant: undefined };
    if (this.needsLease && !this.checkLease()) return this.denyNotReady();
    const tenant = keyDigest === undefined ? undefined : this.keys.ownerOf(keyDigest);
    if (tenant !== undefined) return { type: 'admitted', tenant };
    return this.deny('unauthorized');
  }

  /** Returns the denial for a request whose route is not in this daemon's configuration. */
  denyRoute(): Denial<'not_found'> {
    return this.deny('not_found');
  }

  private deny<Kind>(kind: Kind): Denial<Kind> {
    return this.mayDeny()
      ? { type: 'refused', kind, retryAfterMs: undefined }
      : this.denyNotReady();
  }

  /** Returns whether the configuration is recent enough to deny a key or route that it lacks. */
  private mayDeny(): boolean {
    if (!this.needsLease) return this.options.isProbablyCurrent();
    const limitMs = Math.min(this.options.configurationMs, this.options.revocationMs);
    return this.options.lease.ageMs(leaseNow()) <= limitMs - LEASE_MARGIN_MS;
  }

  private checkLease(): boolean {
    const { lease, logger, revocationMs } = this.options;
    const ageMs = lease.ageMs(leaseNow());
    const isValid = ageMs <= revocationMs - LEASE_MARGIN_MS;
    if (isValid !== this.wasLeaseValid) {
      this.wasLeaseValid = isValid;
      const event = isValid ? 'configuration_lease_regained' : 'configuration_lease_lost';
      logger.warn(event, { ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined });
    }
    return isValid;
  }

  /**
   * Age in milliseconds of the proof that the configuration is current; undefined if none is needed or none
   * exists.
   */
  proofAgeMs(): number | undefined {
    const ageMs = this.options.lease.ageMs(leaseNow());
    return this.needsLease && Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }

  private denyNotReady(): Denial<never> {
    if (this.needsLease) this.options.onMaybeStale();
    return { type: 'refused', kind: 'not_ready', retryAfterMs: NOT_READY_RETRY_MS };
  }
}
