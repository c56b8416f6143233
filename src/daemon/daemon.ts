/**
 * One daemon: a router and member of the group and, depending on its rank, also an owner
 * of pools and a reader of the platform. This module only connects the components.
 */
import { systemClock, type Clock } from '../common/clock.js';
import { serviceError, type ServiceError } from '../common/errors.js';
import { LinkFaults } from '../common/link-faults.js';
import { faultText, type Logger } from '../common/logger.js';
import { startTicker, type Ticker } from '../common/process.js';
import { reachesHalf } from '../core/roles.js';
import { AdaptiveKeepAlive } from '../core/keep-alive-adaptive.js';
import { Membership } from '../core/membership.js';
import type { MembershipEvent } from '../core/membership-messages.js';
import { CacheAwarePlacement } from '../core/placement-cache-aware.js';
import type { TenantLocation, WakeRequest } from '../core/pool-messages.js';
import type { PoolRecord } from '../core/records.js';
import type { EngineClient } from '../engines/engine-client.js';
import type { Machine, PlatformClient } from '../platform/platform-client.js';
import { AdminApi } from './admin-api.js';
import { CallerApi } from './caller-api.js';
import {
  decodeLocation,
  decodeMembership,
  decodeWake,
  encodeLocation,
  encodeWake,
} from './codec.js';
import { performMembershipEffects } from './membership-transport.js';
import { ConfigurationService, RELAY_HEARTBEAT_MS } from './configuration-service.js';
import { Directory } from './directory.js';
import { DaemonHttpServer } from './daemon-http-server.js';
import { KeyClaims } from './key-claims.js';
import { DaemonMetrics } from './metrics.js';
import { PeerTransport, type PeerBody } from './peer-transport.js';
import { PoolClaims } from './pool-claims.js';
import { PoolOwnerProcess } from './pool-owner-process.js';
import { QuotaReconciler } from './quota-reconciler.js';
import { RequestService } from './request-service.js';
import type { DaemonSettings } from './settings.js';
import { buildStatusReport, type StatusReport } from './status.js';

/** Milliseconds between two ticks of the membership protocol. */
const MEMBERSHIP_TICK_MS = 50;
/** Capacity value that excludes the capacity of the machine from the ranking for roles. */
const UNKNOWN_CAPACITY = 0;
/** Milliseconds between two evaluations of pool ownership and peers. */
const ROLE_TICK_MS = 500;
/** Milliseconds between two deletions of expired claims. */
const CLEANUP_MS = 30_000;
/**
 * Milliseconds for which a drained daemon still refuses requests with `Connection: close`
 * before it closes its port, so that no caller sends a request on a closing connection.
 */
const DRAIN_REFUSAL_MS = 800;
/**
 * Milliseconds for the announcement that this daemon leaves to spread before it closes the peer
 * port.
 */
const LEAVE_ANNOUNCEMENT_MS = 300;

/** External systems, and components that tests replace. */
export interface DaemonDependencies {
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly logger: Logger;
  readonly faults?: LinkFaults;
  readonly clock?: Clock;
  /** Returns the bytes of control traffic over HTTP since the start, for the metrics. */
  readonly httpControlBytes?: () => number;
}

/** Runs one daemon. */
export class Daemon {
  readonly transport: PeerTransport;
  readonly membership: Membership;
  readonly configuration: ConfigurationService;
  readonly directory: Directory;
  readonly claims: PoolClaims;
  readonly requests: RequestService;
  readonly metrics = new DaemonMetrics();
  private readonly keyClaims: KeyClaims;
  private readonly quotas: QuotaReconciler;
  private readonly frontDoor: DaemonHttpServer;
  private readonly clock: Clock;
  private readonly tickers: Ticker[] = [];
  private readonly seenPools = new Set<string>();
  private membersHaveChanged = false;
  private draining = false;
  private stopping: Promise<void> | undefined;

  constructor(
    private readonly settings: DaemonSettings,
    private readonly dependencies: DaemonDependencies,
  ) {
    const { platform, engines, logger } = dependencies;
    const faults = dependencies.faults ?? new LinkFaults();
    this.clock = dependencies.clock ?? systemClock;
    const { clock } = this;
    this.transport = new PeerTransport({
      host: settings.address,
      port: settings.peerPort,
      logger,
      faults,
      onMessage: (from, body) => this.receive(from, body),
      onDisconnect: (address) => this.configuration.peerDisconnected(address),
    });
    const self = this.transport.address;
    const identity = { address: self, zone: settings.zone, site: settings.site };
    const ownMember = { ...identity, incarnation: clock.now(), capacity: UNKNOWN_CAPACITY };
    this.membership = new Membership({ ...ownMember, state: 'alive' });
    const send = (to: string, body: PeerBody): void => this.transport.send(to, body);
    this.configuration = new ConfigurationService({
      self: identity,
      clock,
      logger,
      membership: this.membership,
      platform,
      readersPerZone: settings.readersPerZone,
      send,
      onConfigurationChange: (key) => this.configurationChanged(key),
      onMachineChange: (address) => this.machineChanged(address),
    });
    this.directory = new Directory(
      this.configuration.configuration.state,
      this.configuration.machines.state,
      settings.site,
    );
    const { directory, membership, metrics } = this;
    const listed = (): Machine[] => this.listedDaemons();
    this.keyClaims = new KeyClaims({ clock, membership, listedDaemons: listed, send });
    const mayWrite = (): boolean =>
      this.configuration.isCurrent() && reachesHalf(membership.live(), listed());
    this.quotas = new QuotaReconciler({ self, membership, platform, directory, logger, mayWrite });
    this.requests = new RequestService({
      self,
      clock,
      logger,
      metrics,
      engines,
      directory,
      claims: this.keyClaims,
      sendWake: (owner, pool, wake) => send(owner, encodeWake(pool, wake)),
    });
    this.claims = new PoolClaims({
      self,
      clock,
      logger,
      membership,
      platform,
      engines,
      directory,
      listedDaemons: listed,
      configurationRevision: () => this.configuration.configuration.state.revision,
      startOwner: (record) => this.startOwner(record),
    });
    this.frontDoor = this.makeFrontDoor(faults);
  }

  /** The address of this daemon for other daemons. */
  get address(): string {
    return this.transport.address;
  }

  /** Opens the ports, starts the periodic tasks and joins the group. */
  async start(): Promise<void> {
    await this.transport.start();
    await this.frontDoor.start();
    const { settings, dependencies } = this;
    dependencies.logger.info('daemon_started', {
      peer: this.address,
      callers: `${settings.address}:${settings.callerPort}`,
      zone: settings.zone,
      site: settings.site,
    });
    const onError = (fault: unknown): void => {
      dependencies.logger.error('daemon_fault', { reason: faultText(fault) });
    };
    this.tickers.push(
      startTicker(MEMBERSHIP_TICK_MS, () => this.membershipTick(), onError),
      startTicker(ROLE_TICK_MS, () => this.evaluateRoles(), onError),
      startTicker(RELAY_HEARTBEAT_MS, () => this.configuration.sendHeartbeats(), onError),
      startTicker(CLEANUP_MS, () => this.keyClaims.deleteExpired(), onError),
    );
    this.offerSeeds();
    this.membersChanged();
  }

  /** Returns the error to refuse requests with; undefined if the daemon is ready. */
  notReadyError(): ServiceError | undefined {
    if (this.draining) return serviceError('draining', 'this daemon is stopping');
    if (this.configuration.isCurrent()) return undefined;
    return serviceError('not_ready', 'the configuration has not been confirmed yet');
  }

  /**
   * Performs a planned stop: refuses new requests, hands over pools and claims, and lets
   * running requests finish. Resolves when the daemon has stopped; repeated calls return
   * the same promise.
   */
  drain(): Promise<void> {
    this.stopping ??= this.performDrain();
    return this.stopping;
  }

  private async performDrain(): Promise<void> {
    this.draining = true;
    const { logger } = this.dependencies;
    logger.info('drain_started', { unfinished: this.requests.unfinished });
    this.membershipEvent({ type: 'leave' });
    this.keyClaims.transferClaims();
    await this.claims.release();
    await this.requests.drain();
    await new Promise((resolve) => setTimeout(resolve, DRAIN_REFUSAL_MS));
    await this.frontDoor.stop();
    await new Promise((resolve) => setTimeout(resolve, LEAVE_ANNOUNCEMENT_MS));
    this.close();
    logger.info('drain_finished');
  }

  /** Stops immediately without draining, as in a crash. For tests. */
  kill(): void {
    this.frontDoor.kill();
    this.close();
  }

  /** Builds the status report. */
  status(): StatusReport {
    return buildStatusReport({
      daemon: this.settings.name,
      ready: this.notReadyError() === undefined,
      configurationRevision: this.configuration.configuration.state.revision,
      members: this.membership.all(),
      directory: this.directory,
      owners: [...this.claims.owners.values()],
      requests: this.requests,
      now: this.clock.now(),
    });
  }

  private close(): void {
    for (const ticker of this.tickers) ticker.stop();
    this.claims.stop();
    this.quotas.stop();
    this.configuration.stop();
    this.requests.stop();
    this.transport.stop();
    this.dependencies.engines.close();
    this.dependencies.platform.close();
  }

  private makeFrontDoor(faults: LinkFaults): DaemonHttpServer {
    const { settings, dependencies, directory, clock } = this;
    const notReadyError = (): ServiceError | undefined => this.notReadyError();
    return new DaemonHttpServer({
      host: settings.address,
      port: settings.callerPort,
      requestMemoryBytes: settings.requestMemoryBytes,
      descriptors: settings.descriptors,
      logger: dependencies.logger,
      metrics: this.metrics,
      callerApi: new CallerApi({
        clock,
        directory,
        requests: this.requests,
        bodyLimitBytes: settings.bodyLimitBytes,
        notReadyError: notReadyError,
      }),
      adminApi: new AdminApi({
        platform: dependencies.platform,
        directory,
        adminKeyHashes: settings.adminKeyHashes,
        bodyLimitBytes: settings.bodyLimitBytes,
        status: () => this.status(),
      }),
      notReadyError: notReadyError,
      refreshMetrics: () => this.refreshMetrics(),
      faults: settings.faultInjection ? faults : undefined,
    });
  }

  private startOwner(record: PoolRecord): PoolOwnerProcess {
    const { dependencies, settings } = this;
    const coldStartWorth = settings.coldStartWorthSeconds;
    return new PoolOwnerProcess({
      record,
      self: this.address,
      clock: this.clock,
      logger: dependencies.logger,
      metrics: this.metrics,
      platform: dependencies.platform,
      engines: dependencies.engines,
      directory: this.directory,
      placement: new CacheAwarePlacement(),
      keepAlive: new AdaptiveKeepAlive({
        coldStartWorthMs: {
          live: coldStartWorth.live * 1000,
          interactive: coldStartWorth.interactive * 1000,
          batch: coldStartWorth.batch * 1000,
        },
      }),
      remoteLoads: this.remoteLoadsFor(record),
      pushLocation: (router, location) => this.transport.send(router, encodeLocation(location)),
      onLost: (pool, epoch) => this.claims.removeLostOwner(pool, epoch),
    });
  }

  /**
   * This pool's share of the concurrent loads that the weight store serves at full speed; at least
   * 1.
   */
  private remoteLoadsFor(record: PoolRecord): number {
    const pools = this.directory.pools().filter((other) => other.site === record.site);
    const { fullSpeedLoads } = this.settings.weightStore;
    return Math.max(1, Math.floor(fullSpeedLoads / Math.max(1, pools.length)));
  }

  private receive(from: string, body: PeerBody): void {
    const message = decodeMembership(body);
    if (message !== undefined) {
      this.membershipEvent({ type: 'message', from, message });
      return;
    }
    if (this.configuration.handle(from, body)) return;
    switch (body.case) {
      case 'wake':
        return this.wakeReceived(from, body.value.pool, decodeWake(from, body.value));
      case 'location':
        return this.requests.locationChanged(from, decodeLocation(body.value));
      case 'claimKey':
        return this.keyClaims.handleClaim(from, body.value);
      case 'claimKeyAnswer':
        return this.keyClaims.handleVote(from, body.value);
      case 'claimTransfer':
        return this.keyClaims.handleTransfer(from, body.value);
      case 'claimRelease':
        return this.keyClaims.handleRelease(body.value);
      case 'claimPull':
        return this.keyClaims.handlePull(from, body.value);
      default:
        this.dependencies.logger.warn('message_ignored', { from, kind: body.case });
    }
  }

  private wakeReceived(from: string, pool: string, wake: WakeRequest): void {
    const owner = this.claims.owners.get(pool);
    if (owner !== undefined) {
      owner.wake(wake);
      return;
    }
    this.transport.send(from, encodeLocation(notOwner(pool, wake.tenant)));
  }

  private membershipEvent(event: MembershipEvent): void {
    const effects = this.membership.handle(event, this.clock.now());
    if (performMembershipEffects(effects, this.transport)) this.membersHaveChanged = true;
  }

  private membershipTick(): void {
    this.membershipEvent({ type: 'tick' });
    if (!this.membersHaveChanged) return;
    // Handles all changes since the last tick together; a start or the loss of a zone causes many.
    this.membersHaveChanged = false;
    this.membersChanged();
  }

  private membersChanged(): void {
    this.configuration.membersChanged();
    if (!this.draining) this.quotas.membersChanged();
    if (this.configuration.isCurrent()) this.claims.evaluate();
  }

  private evaluateRoles(): void {
    this.configuration.queryPeerRevisions();
    this.configuration.resubscribeSilentUpstreams();
    this.keyClaims.pullClaims();
    this.offerSeeds();
    if (this.draining || !this.configuration.isCurrent()) return;
    this.claims.evaluate();
  }

  private offerSeeds(): void {
    const listed = this.listedDaemons().map((machine) => machine.address);
    const addresses = [...new Set([...this.settings.seeds, ...listed])];
    this.membershipEvent({ type: 'seeds', addresses });
  }

  private listedDaemons(): Machine[] {
    return this.directory
      .machines()
      .filter((machine) => machine.kind === 'daemon' && machine.state === 'live');
  }

  private configurationChanged(key: string): void {
    for (const owner of this.claims.owners.values()) owner.configurationChanged(key);
    const slash = key.indexOf('/');
    const kind = key.slice(0, slash);
    const name = key.slice(slash + 1);
    if (kind === 'tenant' || kind === 'quota') this.quotas.check(name);
    if (kind === 'pool') this.poolChanged(name);
    if (kind === 'template') this.quotas.scheduleCheckAll();
    this.requests.configurationChanged();
  }

  private poolChanged(pool: string): void {
    if (this.seenPools.has(pool)) return;
    this.seenPools.add(pool);
    this.quotas.scheduleCheckAll();
  }

  private machineChanged(address: string): void {
    const machine = this.directory.machine(address);
    if (machine?.kind === 'daemon') return;
    if (machine?.state === 'live') this.requests.engineReturned(address);
    else this.requests.engineLeaving(address);
  }

  private refreshMetrics(): void {
    const { metrics, transport } = this;
    const { confirmedAt } = this.configuration.configuration;
    const age = confirmedAt === 0 ? -1 : (this.clock.now() - confirmedAt) / 1000;
    metrics.configurationAge.set(age);
    metrics.pools.set(this.claims.owners.size);
    const http = this.dependencies.httpControlBytes?.() ?? 0;
    metrics.controlBytes.set({ direction: 'sent' }, transport.counts.bytesSent);
    metrics.controlBytes.set({ direction: 'received' }, transport.counts.bytesReceived);
    metrics.controlBytes.set({ direction: 'http' }, http);
  }
}

function notOwner(pool: string, tenant: string): TenantLocation {
  return {
    pool,
    epoch: 0,
    version: 0,
    tenant,
    state: 'not_owner',
    replicas: [],
    readyInMs: 0,
    retryAfterMs: 0,
    routers: 1,
  };
}
