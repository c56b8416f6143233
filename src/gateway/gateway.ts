/**
 * One gateway daemon: forwards opaque requests to services by route and owns services
 * according to its rank among the daemons. Creates and connects the daemon's components.
 */
import { leaseClock, leaseNow } from '../common/lease-clock.js';
import { startTicker, type Ticker } from '../common/process.js';
import { BEAT_PERIOD_MS, RunningClock } from '../common/running-clock.js';
import { shareCalls } from '../common/shared-call.js';
import { LimitShares } from '../core/admission/limit-shares.js';
import { answerMemoryLimitsFor } from '../core/answer-budget.js';
import { BackendDirectory } from '../core/backend-directory.js';
import { BackendHealth } from '../core/backend-health.js';
import { BackendBackoffs } from '../core/backend-backoffs.js';
import { StaleLoadSelection } from '../core/backend-selection-stale-load.js';
import { ExpectedServiceHold } from '../core/hold-policy-expected-service.js';
import { GoalWindowHold } from '../core/hold-policy-goal-windows.js';
import { RequestMemory } from '../core/request-memory.js';
import { RoutingTable } from '../core/routing-table.js';
import type { ServiceConfiguration } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { AnswerBuffer } from './answer-buffer.js';
import { BackendAccess } from './backend-access.js';
import { clearEarlierStart } from './backend-restarts.js';
import { CallerBudgets } from './caller-budgets.js';
import { CallerAdmission } from './caller-admission.js';
import { CallerServer } from './caller-server.js';
import { CrashTracker } from './crash-tracker.js';
import { DemandReporter } from './demand-reporter.js';
import { decodeDemand, decodePlacement } from './gateway-codec.js';
import { ConfigurationExchange } from './configuration-exchange.js';
import { ConfigurationLeaseRenewal } from './configuration-lease-renewal.js';
import type { GossipLinks } from './digest-gossip.js';
import { Drain } from './drain.js';
import { DirectoryFollower } from './directory-follower.js';
import { FaultRecorder } from './fault-recorder.js';
import type { GatewayContext } from './gateway-context.js';
import { refreshGauges } from './gateway-gauges.js';
import type { GatewayDependencies } from './gateway-dependencies.js';
import type { GatewaySettings } from './gateway-settings.js';
import { MemberList } from './member-list.js';
import { OpenWork } from './open-work.js';
import { reportPauses } from './pause-report.js';
import { PeerGroup } from './peer-group.js';
import { PlacementExchange } from './placement-exchange.js';
import type { ConfigurationSource } from './ports.js';
import type { RequestExchange } from './request-exchange.js';
import { RequestTracker } from './request-tracker.js';
import { ServiceOwnerships } from './service-ownerships.js';
import { SlotAdmission, slotsOf } from './slot-admission.js';
import { steadyNow } from './steady-clock.js';
import { ShutdownAnnouncer } from './shutdown-announcer.js';
import { StreamOriginExchange } from './stream-origin-exchange.js';
import { StreamResumptions } from './stream-resumptions.js';
import { StatusPorts } from './status-ports.js';
import { RateLimiting } from './rate-limiting.js';

/** Interval of the periodic work of the membership, the owned services and the exchanges with other daemons, in milliseconds. */
const TICK_MS = BEAT_PERIOD_MS;
/** Interval between demand reports to an owner, in milliseconds. */
const DEMAND_PERIOD_MS = 250;

/** One running gateway daemon. */
export class Gateway {
  private readonly context: GatewayContext;
  private readonly backends = new BackendDirectory();
  private readonly budgets: CallerBudgets;
  private readonly peers: PeerGroup;
  private readonly shares: LimitShares;
  private readonly members: MemberList;
  private readonly configurations: ConfigurationExchange;
  private readonly proofs: ConfigurationLeaseRenewal;
  private readonly admission: CallerAdmission;
  private readonly limits: RateLimiting;
  private readonly slots: SlotAdmission | undefined;
  private readonly access: BackendAccess;
  private readonly crashes: CrashTracker;
  private readonly leavings: ShutdownAnnouncer;
  private readonly streamOrigins: StreamOriginExchange;
  private readonly faults: FaultRecorder;
  private readonly runningClock = new RunningClock(steadyNow);
  private readonly requestMemory: RequestMemory;
  private readonly resumptions: StreamResumptions;
  private readonly directoryReader: DirectoryFollower;
  private readonly ownerships: ServiceOwnerships;
  private readonly placements: PlacementExchange;
  private readonly demand: DemandReporter;
  private readonly front: CallerServer;
  private readonly status: StatusPorts;
  private routing: RoutingTable | undefined;
  private hasBackendList = false;
  private readonly shutdown: Drain;
  private starting: Promise<void> | undefined;
  private stopped = false;
  private ticker: Ticker | undefined;
  private lastReport = 0;
  private recheckScheduled = false;
  private membersHaveChanged = false;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly systems: GatewayDependencies,
  ) {
    const { logger } = systems;
    this.faults = new FaultRecorder(logger, systems.metrics);
    this.budgets = new CallerBudgets(settings, steadyNow());
    this.requestMemory = RequestMemory.forMachine(settings, steadyNow);
    this.peers = new PeerGroup({
      host: settings.address,
      port: settings.peerPort,
      zone: settings.zone,
      capacity: settings.processorShare * settings.processorSpeed,
      logger,
      onMessage: this.faults.guardMessages((from, body) => this.receive(from, body)),
      onChange: () => {
        this.membersHaveChanged = true;
        this.limits.groupChanged();
        this.crashes.groupChanged();
        this.slots?.groupChanged();
      },
    });
    this.shares = new LimitShares(this.peers.address);
    this.members = new MemberList(settings, systems.store, this.peers, logger, (askedAt) =>
      this.shares.recordRenewal(askedAt),
    );
    this.configurations = new ConfigurationExchange({
      directory: systems.directory,
      logger,
      version: () => this.version,
      send: (to, body) => this.peers.send(to, body),
    });
    this.proofs = this.makeProofs();
    this.admission = new CallerAdmission({
      lease: this.proofs.lease,
      logger: systems.logger,
      revocationMs: settings.bounds.revocationMs,
      configurationMs: settings.bounds.configurationMs,
      isProbablyCurrent: () => this.directoryReader.isCurrent(),
      onMaybeStale: () => this.proofs.tick(),
    });
    this.limits = this.makeLimits();
    this.access = this.makeBackendAccess();
    this.crashes = this.makeCrashWatch();
    this.leavings = this.makeLeavingNotices();
    this.streamOrigins = new StreamOriginExchange(this.peers, (target) =>
      this.resumptions.inferOrigin(target),
    );
    this.slots = settings.policies.sharedSlots ? this.makeSlots() : undefined;
    this.ownerships = this.makeOwnerships();
    this.placements = this.makePlacements();
    this.demand = this.makeDemandReporter();
    this.context = this.makeContext();
    this.directoryReader = new DirectoryFollower({
      directory: systems.directory,
      backends: this.backends,
      peers: this.peers,
      logger,
      version: () => this.version,
      ownsService: () => this.ownerships.ownsAny(),
      inFlightAt: (backend) => this.context.tracker.inFlightAt(backend),
      onLeaving: (backend) => this.leavings.announce(backend),
      onChange: () => this.backendsChanged(),
    });
    this.resumptions = new StreamResumptions(this.context, systems.store, this.peers);
    this.front = new CallerServer(this.context, () => this.routing, this.resumptions);
    this.status = this.makeStatusPorts();
    this.shutdown = this.makeDrain();
  }

  /** Opens the ports and starts to watch the platform. */
  start(): Promise<void> {
    return (this.starting = this.open());
  }

  private async open(): Promise<void> {
    const { settings, systems } = this;
    await this.peers.start();
    await this.access.start();
    await this.front.start();
    await this.status.start();
    systems.directory.start({
      onConfiguration: (configuration, source) => this.configure(configuration, source),
      onBackends: (list) => {
        this.hasBackendList = true;
        this.directoryReader.applyList(list);
      },
      onConfirmed: (version, askedAt) => this.proofs.addStoreProof(version, askedAt),
    });
    this.members.start();
    this.limits.start();
    const onFault = (fault: unknown): void => this.faults.record('tick', fault);
    reportPauses(this.runningClock, { ...systems, unfinished: () => this.context.exchanges.size });
    this.ticker = startTicker(TICK_MS, () => this.tick(), onFault);
    leaseClock.onForwardStep = (milliseconds) => systems.logger.warn('time_leap', { milliseconds });
    for (const name of settings.retiredPolicies) systems.logger.warn('policy_retired', { name });
    systems.logger.info('started', { milliseconds: Math.round(steadyNow()) });
  }

  /** Stops gracefully: requests in flight may complete within the time for a stop. All calls wait for the same stop. */
  drain(): Promise<void> {
    return this.shutdown.run();
  }

  private makeDrain(): Drain {
    const { runningClock, access } = this;
    return new Drain({
      ...this.systems,
      runningClock,
      stopSeconds: this.settings.bounds.stopSeconds,
      leave: () => this.leaveGroup(),
      work: new OpenWork({ context: () => this.context, callers: () => this.front, access }),
      close: () => this.stop(),
    });
  }

  private async leaveGroup(): Promise<void> {
    // A start in progress would leave its ports open and this daemon's entry in the list of daemons.
    await this.starting;
    this.ownerships.stop('the daemon stops');
    for (const exchange of this.context.exchanges) exchange.reserveRetry();
    this.shares.leave();
    this.peers.leave();
    await this.members.leave();
  }

  /** Closes all ports immediately. */
  stop(): void {
    if (this.stopped) return;
    this.stopped = true;
    this.ticker?.stop();
    this.systems.directory.stop();
    this.front.stop();
    this.status.stop();
    this.access.stop();
    this.peers.stop();
  }

  private makeProofs(): ConfigurationLeaseRenewal {
    const { settings, systems, peers } = this;
    return new ConfigurationLeaseRenewal({
      self: peers.address,
      logger: systems.logger,
      usesPeers: settings.policies.proofsFromPeers,
      live: () => peers.live(),
      version: () => this.version,
      sendDatagram: (to, body) => peers.sendDatagram(to, body),
      readStore: () => systems.directory.confirmConfiguration(),
      onPeerVersion: (from, version) => this.configurations.onPeerVersion(from, version),
    });
  }

  private makeLimits(): RateLimiting {
    const { systems, peers, settings } = this;
    const { limitWindowSeconds, limitExcess, limitSlack } = settings.bounds;
    return new RateLimiting({
      peers,
      links: this.gossipLinks(),
      logger: systems.logger,
      metrics: systems.metrics,
      tenantWindow: {
        windowMs: limitWindowSeconds * 1_000,
        excess: limitExcess,
        slack: limitSlack,
      },
      shares: this.shares,
      store: systems.store,
      hasEnded: (address) => this.members.hasEnded(address),
      tenantLimit: (name) => this.admission.tenant(name)?.limit,
      areTenantsLimited: () => this.admission.needsKeys,
      onChange: () => this.scheduleRecheck(),
    });
  }

  private makeSlots(): SlotAdmission {
    const { systems, peers, backends } = this;
    return new SlotAdmission({
      self: peers.address,
      logger: systems.logger,
      metrics: systems.metrics,
      live: () => peers.live(),
      reachable: () => peers.reachableOthers(),
      slotsOf: (id) => slotsOf(backends.getServing(id)),
      sendDatagram: (to, body) => peers.sendDatagram(to, body),
    });
  }

  private makeBackendAccess(): BackendAccess {
    return new BackendAccess({
      settings: this.settings,
      ...this.systems,
      directory: this.backends,
      peers: this.peers,
      crashes: () => this.crashes,
      requestMemory: this.requestMemory,
      faults: this.faults,
      isDraining: () => this.shutdown.refusesRequests,
      onPartitioned: () => this.partitioned(),
      onChange: () => this.scheduleRecheck(),
    });
  }

  /** Discards what direct connections have shown about backends, and sends requests in flight again on other paths. */
  private partitioned(): void {
    this.context.health.clear();
    for (const exchange of [...this.context.exchanges]) exchange.partitioned();
  }

  private makeCrashWatch(): CrashTracker {
    const { logger, metrics } = this.systems;
    return new CrashTracker({
      ...this.gossipLinks(),
      logger,
      metrics,
      listed: (backend) => this.backends.get(backend),
      reachesOthers: (address) => this.access.watch.reachesOthers(address),
      onRefusedChange: () => this.scheduleRecheck(),
    });
  }

  private gossipLinks(): GossipLinks {
    const { peers } = this;
    return {
      others: () => peers.reachableOthers(),
      send: (to, body) => peers.send(to, body),
      sendDatagram: (to, body) => peers.sendDatagram(to, body),
      broadcast: (body) => peers.broadcast(body),
    };
  }

  private makeLeavingNotices(): ShutdownAnnouncer {
    return new ShutdownAnnouncer({
      directory: this.backends,
      logger: this.systems.logger,
      broadcast: (body) => this.peers.broadcast(body),
      onChange: () => this.backendsChanged(),
    });
  }

  private makeOwnerships(): ServiceOwnerships {
    const { settings, systems, peers, backends } = this;
    return new ServiceOwnerships({
      settings,
      peers,
      store: systems.store,
      control: systems.control,
      directory: backends,
      logger: systems.logger,
      metrics: systems.metrics,
      listed: () => this.members.listed,
      othersReachPlatform: () => this.directoryReader.hasWorkingReader(),
      access: this.access.services,
      publish: (update) => this.placements.publish(update),
    });
  }

  private makePlacements(): PlacementExchange {
    const { peers } = this;
    return new PlacementExchange({
      self: peers.address,
      logger: this.systems.logger,
      directory: this.backends,
      fullUpdateOf: (service) => this.ownerships.fullUpdateOf(service),
      version: () => this.version,
      send: (to, body) => peers.send(to, body),
      broadcast: (body) => peers.broadcast(body),
      onNewOwner: (service, now) => {
        if (this.settings.policies.recallDemand)
          this.context.tracker.addRecentArrivals(service, now);
      },
      onApplied: () => this.scheduleRecheck(),
    });
  }

  private makeDemandReporter(): DemandReporter {
    return new DemandReporter({
      self: this.peers.address,
      ownerships: this.ownerships,
      tracker: () => this.context.tracker,
      health: () => this.context.health,
      version: () => this.version,
      send: (to, body) => this.peers.send(to, body),
    });
  }

  private makeStatusPorts(): StatusPorts {
    return new StatusPorts({
      ...this.systems,
      settings: this.settings,
      readinessPath: this.systems.dialect.readinessPath,
      isReady: () => this.isReady(),
      refreshMetrics: () => this.refreshMetrics(),
      crashes: this.crashes,
    });
  }

  private makeContext(): GatewayContext {
    const { settings, systems } = this;
    return {
      ...systems,
      settings,
      directory: this.backends,
      health: new BackendHealth(),
      backendWatch: this.access.watch,
      paths: this.access.paths,
      selection: new StaleLoadSelection(settings.name),
      tracker: new RequestTracker(),
      hold: settings.policies.holdByChance ? new ExpectedServiceHold() : new GoalWindowHold(),
      runningClock: this.runningClock,
      faults: this.faults,
      admission: this.admission,
      limits: this.limits.tenants,
      permits: this.limits.permits,
      crashes: this.crashes,
      leavingNotices: this.leavings,
      streamOrigins: this.streamOrigins,
      backoffs: new BackendBackoffs(),
      slots: this.slots,
      answers: new AnswerBuffer({
        limits: answerMemoryLimitsFor(settings.memoryMegabytes),
        runningClock: this.runningClock,
        ...systems,
      }),
      requestMemory: this.requestMemory,
      exchanges: new Set<RequestExchange>(),
      backendsAgeMs: () => this.directoryReader.directoryAgeMs(),
      confirmDirectory: shareCalls(() => systems.directory.confirmDirectory()),
      budgetOf: (service) => this.budgets.budgetOf(service),
      budgetParts: () => 1 / this.shares.ownShare(leaseNow()),
      recordCaller: (route, deadlineMs) => this.budgets.recordDeadline(route, deadlineMs),
      sendDemandNow: (service) => this.demand.report(service),
      recheckWaiting: () => this.scheduleRecheck(),
      isDraining: () => this.shutdown.hasStarted,
      refusesRequests: () => this.shutdown.refusesRequests,
      mayBegin: (allowedMs) => this.shutdown.mayBegin(allowedMs),
    };
  }

  private configure(configuration: ServiceConfiguration, source: ConfigurationSource): void {
    this.routing = new RoutingTable(configuration, this.routing);
    this.resumptions.configure(this.routing);
    this.admission.configure(configuration);
    this.proofs.lease.setVersion(configuration.version);
    for (const reason of configuration.problems) {
      this.systems.logger.warn('configuration_problem', { version: configuration.version, reason });
    }
    this.front.setLimits(configuration.limits);
    this.ownerships.configure(configuration);
    this.systems.metrics.configurationVersion.set(configuration.version);
    this.systems.logger.info('configuration', {
      version: configuration.version,
      source,
      routes: configuration.routes.length,
      services: configuration.services.length,
    });
    this.directoryReader.configurationChanged();
    this.scheduleRecheck();
  }

  private backendsChanged(): void {
    for (const restart of this.backends.takeRestarts()) clearEarlierStart(this.context, restart);
    this.context.health.keepOnly(new Set(this.backends.all().map((backend) => backend.id)));
    this.access.watch.setListed(this.backends.all().map(({ address }) => address));
    this.limits.permits.keepOnly(this.backends.all());
    this.resumptions.observe(this.backends.all());
    this.ownerships.backendsChanged();
    this.scheduleRecheck();
  }

  /** Logs one line for all changes of a period, because a starting daemon discovers all others at about the same time. */
  private logMembers(): void {
    if (!this.membersHaveChanged) return;
    this.membersHaveChanged = false;
    const live = this.peers.live().length;
    this.systems.logger.info('members', { live, listed: this.members.listed.length });
  }

  private tick(): void {
    this.runningClock.beat();
    const now = steadyNow();
    this.peers.tick();
    this.access.tick();
    this.ownerships.tick();
    if (this.admission.needsLease) this.proofs.tick();
    this.limits.tick();
    this.slots?.tick();
    this.crashes.tick();
    this.leavings.tick();
    this.streamOrigins.tick();
    if (this.hasBackendList && this.routing !== undefined) this.resumptions.recordListAge();
    if (now - this.lastReport < DEMAND_PERIOD_MS) return;
    this.lastReport = now;
    this.logMembers();
    this.directoryReader.tick();
    this.demand.reportAll(now);
  }

  private get version(): number {
    return this.routing?.configuration.version ?? 0;
  }

  private receive(from: string, body: PeerBody): void {
    if (this.configurations.receive(from, body) || this.streamOrigins.receive(from, body)) return;
    if (this.proofs.receive(from, body) || this.limits.receive(from, body)) return;
    if (this.slots?.receive(from, body) || this.crashes.receive(from, body)) return;
    if (this.leavings.receive(from, body) || this.ownerships.receive(from, body)) return;
    if (body.case === 'serviceDemand') {
      this.ownerships.applyDemand(body.value.service, decodeDemand(from, body.value));
      this.configurations.onPeerVersion(from, body.value.configurationVersion);
    }
    if (body.case === 'directoryNews') {
      this.directoryReader.applyUpdate(from, body.value);
      this.configurations.onPeerVersion(from, body.value.configurationVersion);
    }
    if (body.case === 'servicePlacement') {
      const update = decodePlacement(body.value);
      this.ownerships.applyAnnouncement(from, update.service, update.epoch);
      this.placements.applyUpdate(from, update);
      this.configurations.onPeerVersion(from, body.value.configurationVersion);
    }
    if (body.case === 'placementRequest') this.placements.replyToRequest(from, body.value.service);
  }

  /** Lets waiting requests check for a backend again, once for all changes in one turn of the event loop. */
  private scheduleRecheck(): void {
    if (this.recheckScheduled) return;
    this.recheckScheduled = true;
    setImmediate(() => {
      this.recheckScheduled = false;
      for (const exchange of [...this.context.exchanges]) exchange.recheck();
    });
  }

  private isReady(): boolean {
    return !this.shutdown.hasStarted && this.routing !== undefined && this.hasBackendList;
  }

  private refreshMetrics(): void {
    this.limits.refreshMetrics(this.backends.all());
    refreshGauges(this.systems.metrics, {
      context: this.context,
      rememberedStreams: this.streamOrigins.size,
      leaseAgeMs: this.proofs.lease.ageMs(leaseNow()),
      traffic: this.peers.counts,
    });
  }
}
