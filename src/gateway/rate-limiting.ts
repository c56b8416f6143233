/** All limits that this daemon applies together with the others: of tenants, and of backends that announce a limit. */
import type { Logger } from '../common/logger.js';
import type { LimitShares } from '../core/admission/limit-shares.js';
import type { LimitWindow } from '../core/admission/limit-ledger.js';
import type { RateLimit } from '../core/admission/rate-ledger.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { BackendPermits } from './backend-permits.js';
import type { GossipLinks } from './digest-gossip.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { HolderLeases } from './holder-leases.js';
import { backendLimitKind, tenantLimitKind, type LimitKind } from './limit-kind.js';
import type { PeerGroup } from './peer-group.js';
import type { RecordStore } from './ports.js';
import { ShareAgreement } from './share-agreement.js';
import { SharedLimits } from './shared-limits.js';

/** Options of {@link RateLimiting}. */
export interface RateLimitingOptions {
  readonly peers: PeerGroup;
  readonly links: GossipLinks;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly tenantWindow: LimitWindow;
  /** The division of limits among the daemons, as this daemon knows it. */
  readonly shares: LimitShares;
  readonly store: RecordStore;
  /** Returns whether a daemon has ended, according to the platform's list. */
  readonly hasEnded: (address: string) => boolean;
  readonly tenantLimit: (tenant: string) => RateLimit | undefined;
  readonly areTenantsLimited: () => boolean;
  /** Called when a backend's limit has changed. */
  readonly onChange: () => void;
}

/** The limits of one daemon. */
export class RateLimiting {
  readonly tenants: SharedLimits;
  readonly permits: BackendPermits;
  private readonly agreement: ShareAgreement;
  private readonly leases: HolderLeases;
  private readonly backends: SharedLimits;

  constructor(private readonly options: RateLimitingOptions) {
    const { links, logger, metrics, tenantWindow, tenantLimit, onChange } = options;
    this.agreement = this.makeAgreement();
    this.leases = this.makeLeases();
    this.tenants = this.makeLimits(tenantLimitKind(tenantWindow), tenantLimit);
    this.backends = this.makeLimits(backendLimitKind, (name) => this.permits.limitOf(name));
    const limits = this.backends;
    this.permits = new BackendPermits({ ...links, logger, metrics, limits, onChange });
  }

  /** Starts to read the division of limits; call it when messages from other daemons can arrive. */
  start(): void {
    this.agreement.tick();
  }

  /** Call this when the set of live daemons or the division of limits has changed. */
  groupChanged(): void {
    this.agreement.groupChanged();
    this.tenants.groupChanged();
    this.backends.groupChanged();
    this.permits.groupChanged();
  }

  /** Runs periodic work; call it ten times a second. */
  tick(): void {
    this.agreement.tick();
    this.leases.tick();
    if (this.options.areTenantsLimited()) this.tenants.tick();
    this.backends.tick();
    this.permits.tick();
  }

  /** Handles a message about limits. Returns false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    const receivers = [this.agreement, this.leases, this.tenants, this.backends, this.permits];
    return receivers.some((receiver) => receiver.receive(from, body));
  }

  /** Sets the metric of each listed backend's limit. */
  refreshMetrics(backends: readonly BackendRecord[]): void {
    const { backendRateLimit, brittleBackends } = this.options.metrics;
    brittleBackends.set(this.permits.brittleBackends);
    backendRateLimit.reset();
    for (const backend of backends) {
      const perSecond = this.permits.perSecond(backend);
      if (perSecond !== undefined) backendRateLimit.set({ backend: backend.id }, perSecond);
    }
  }

  private makeAgreement(): ShareAgreement {
    const { peers, logger, shares, store, hasEnded } = this.options;
    return new ShareAgreement({
      self: peers.address,
      logger,
      shares,
      store,
      live: () => peers.live(),
      hasEnded,
      send: (to, body) => peers.send(to, body),
      sendDatagram: (to, body) => peers.sendDatagram(to, body),
      broadcast: (body) => peers.broadcast(body),
      onChange: () => this.groupChanged(),
    });
  }

  private makeLeases(): HolderLeases {
    const { peers, logger, shares, tenantWindow } = this.options;
    return new HolderLeases({
      self: peers.address,
      logger,
      members: () => shares.record?.members ?? [],
      live: () => peers.live(),
      retentionMs: Math.max(tenantWindow.windowMs, backendLimitKind.windowMs),
      firstSequence: Date.now(),
      processStartedAt: 0,
      sendDatagram: (to, body) => peers.sendDatagram(to, body),
    });
  }

  private makeLimits(
    kind: LimitKind,
    limitOf: (name: string) => RateLimit | undefined,
  ): SharedLimits {
    const { peers, logger, shares } = this.options;
    return new SharedLimits({
      self: peers.address,
      kind,
      logger,
      leases: this.leases,
      live: () => peers.live(),
      shares,
      limitOf,
      sendDatagram: (to, body) => peers.sendDatagram(to, body),
      broadcast: (body) => peers.broadcast(body),
    });
  }
}
