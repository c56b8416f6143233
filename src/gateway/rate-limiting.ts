/** All limits that this daemon keeps together with the others: of tenants, and of backends that name one. */
import type { Logger } from '../common/logger.js';
import type { LimitWindow } from '../core/admission/limit-ledger.js';
import type { RateLimit } from '../core/admission/rate-ledger.js';
import type { DutyMember } from '../core/duties.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { BackendPermits } from './backend-permits.js';
import type { GossipLinks } from './digest-gossip.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { HolderLeases } from './holder-leases.js';
import { backendLimitKind, tenantLimitKind, type LimitKind } from './limit-kind.js';
import type { PeerGroup } from './peer-group.js';
import { SharedLimits } from './shared-limits.js';

/** Options of {@link RateLimiting}. */
export interface RateLimitingOptions {
  readonly peers: PeerGroup;
  readonly links: GossipLinks;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly tenantWindow: LimitWindow;
  /** Daemons that the platform's store lists. */
  readonly listed: () => readonly DutyMember[];
  readonly tenantLimit: (tenant: string) => RateLimit | undefined;
  readonly areTenantsLimited: () => boolean;
  /** A backend's limit has changed. */
  readonly onChange: () => void;
}

/** One daemon's part. */
export class RateLimiting {
  readonly tenants: SharedLimits;
  readonly permits: BackendPermits;
  private readonly leases: HolderLeases;
  private readonly backends: SharedLimits;

  constructor(private readonly options: RateLimitingOptions) {
    const { links, logger, metrics, tenantWindow, tenantLimit, onChange } = options;
    this.leases = this.makeLeases();
    this.tenants = this.makeLimits(tenantLimitKind(tenantWindow), tenantLimit);
    this.backends = this.makeLimits(backendLimitKind, (name) => this.permits.limitOf(name));
    const limits = this.backends;
    this.permits = new BackendPermits({ ...links, logger, metrics, limits, onChange });
  }

  /** The set of live daemons has changed. */
  groupChanged(): void {
    this.tenants.groupChanged();
    this.backends.groupChanged();
  }

  /** Looks at the clock; call it ten times a second. */
  tick(): void {
    this.leases.tick();
    if (this.options.areTenantsLimited()) this.tenants.tick();
    this.backends.tick();
    this.permits.tick();
  }

  /** Handles a message about limits; false if it is another kind. */
  receive(from: string, body: PeerBody): boolean {
    const receivers = [this.leases, this.tenants, this.backends, this.permits];
    return receivers.some((receiver) => receiver.receive(from, body));
  }

  /** Puts the limits of listed backends into the metrics. */
  refreshMetrics(backends: readonly BackendRecord[]): void {
    const { backendRateLimit } = this.options.metrics;
    backendRateLimit.reset();
    for (const backend of backends) {
      const perSecond = this.permits.perSecond(backend);
      if (perSecond !== undefined) backendRateLimit.set({ backend: backend.id }, perSecond);
    }
  }

  private makeLeases(): HolderLeases {
    const { peers, logger, listed, tenantWindow } = this.options;
    return new HolderLeases({
      self: peers.address,
      logger,
      listed,
      live: () => peers.live(),
      rememberMs: Math.max(tenantWindow.windowMs, backendLimitKind.windowMs),
      firstSequence: Date.now(),
      processStartedAt: 0,
      sendDatagram: (to, body) => peers.sendDatagram(to, body),
    });
  }

  private makeLimits(
    kind: LimitKind,
    limitOf: (name: string) => RateLimit | undefined,
  ): SharedLimits {
    const { peers, logger, listed } = this.options;
    return new SharedLimits({
      self: peers.address,
      kind,
      logger,
      leases: this.leases,
      live: () => peers.live(),
      listedCount: () => listed().length,
      limitOf,
      sendDatagram: (to, body) => peers.sendDatagram(to, body),
      broadcast: (body) => peers.broadcast(body),
    });
  }
}
