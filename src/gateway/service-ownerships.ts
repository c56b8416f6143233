/** The services that this daemon owns or may claim. */
import type { Logger } from '../common/logger.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { RoleCandidate } from '../core/roles.js';
import type { DemandReport } from '../core/demand-report.js';
import type { PlacementUpdate } from '../core/placement-update.js';
import type { ServiceConfiguration } from '../core/service-configuration.js';
import type { StoreLoadCeiling } from '../core/store-load-ceiling.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { encodeResignation } from './gateway-codec.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewaySettings } from './gateway-settings.js';
import { Ownership } from './ownership.js';
import type { PeerGroup } from './peer-group.js';
import type { BackendControl, RecordStore } from './ports.js';
import type { ServiceAccess } from './service-access.js';
import { ServiceOwner } from './service-owner.js';
import { steadyNow } from './steady-clock.js';
import { UnownedService } from './unowned-service.js';

/** Number of loads that the ceiling allows in each window in addition to the store's rate. */
const EXTRA_LOADS_PER_WINDOW = 3;

/** Options of {@link ServiceOwnerships}. */
export interface ServiceOwnershipsOptions {
  readonly settings: GatewaySettings;
  readonly peers: PeerGroup;
  readonly store: RecordStore;
  readonly control: BackendControl;
  readonly directory: BackendDirectory;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly listed: () => readonly RoleCandidate[];
  /** Whether this daemon receives messages from another one that the platform responds to. */
  readonly othersReachPlatform: () => boolean;
  readonly access: ServiceAccess;
  readonly publish: (update: PlacementUpdate) => void;
}

interface ServiceState {
  readonly ownership: Ownership;
  readonly unowned: UnownedService;
  owner: ServiceOwner | undefined;
}

/** Ownership of all services that host models. */
export class ServiceOwnerships {
  private readonly services = new Map<string, ServiceState>();
  private configuration: ServiceConfiguration | undefined;
  private stopped = false;

  constructor(private readonly options: ServiceOwnershipsOptions) {}

  /** Applies a newer configuration. */
  configure(configuration: ServiceConfiguration): void {
    this.configuration = configuration;
    for (const service of configuration.services) {
      if (service.modelHost === undefined || this.services.has(service.name)) continue;
      this.services.set(service.name, this.makeState(service.name));
    }
  }

  /** Runs the periodic work of all services; must be called frequently. */
  tick(): void {
    if (this.stopped) return;
    const now = steadyNow();
    for (const { ownership, unowned, owner } of this.services.values()) {
      ownership.tick();
      owner?.tick();
      unowned.observe(ownership.knowsOwner, () => ownership.inputs(), now);
    }
  }

  /** Whether this daemon owns at least one service. */
  ownsAny(): boolean {
    return [...this.services.values()].some((state) => state.owner !== undefined);
  }

  /** Gives up all ownerships and makes no further claims. */
  stop(reason: string): void {
    this.stopped = true;
    for (const { ownership } of this.services.values()) ownership.stop(reason);
  }

  backendsChanged(): void {
    for (const { owner } of this.services.values()) owner?.backendsChanged();
  }

  /** Applies a demand report; returns false if this daemon does not own the service. */
  applyDemand(service: string, report: DemandReport): boolean {
    const owner = this.services.get(service)?.owner;
    owner?.applyDemand(report);
    return owner !== undefined;
  }

  applyAnnouncement(address: string, service: string, epoch: number): void {
    this.services.get(service)?.ownership.applyAnnouncement(address, epoch);
  }

  /** Handles a message of another daemon. Returns false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case !== 'ownershipResigned') return false;
    const { service, epoch, successor } = body.value;
    this.services.get(service)?.ownership.applyResignation(from, epoch, successor);
    return true;
  }

  /** Full placement of a service; undefined if this daemon does not own it. */
  fullUpdateOf(service: string): PlacementUpdate | undefined {
    return this.services.get(service)?.owner?.fullUpdate();
  }

  /** Peer address of a service's owner, if one is known. */
  ownerAddress(service: string): string | undefined {
    return this.services.get(service)?.ownership.ownerAddress;
  }

  private makeState(service: string): ServiceState {
    const {
      peers,
      store,
      logger,
      listed,
      settings,
      access,
      othersReachPlatform: platformAnswersOthers,
    } = this.options;
    const state: ServiceState = {
      owner: undefined,
      unowned: new UnownedService(service, logger, this.options.metrics),
      ownership: new Ownership({
        service,
        peers,
        store,
        logger,
        backendsCheckEpochs: settings.backendsCheckEpochs,
        othersReachPlatform: platformAnswersOthers,
        listed,
        reachesBackends: () => access.reachesService(service),
        findSuccessor: () => access.findDaemonReaching(service),
        announceResignation: (epoch, successor) =>
          peers.broadcast(encodeResignation(service, epoch, successor)),
        onChange: (epoch) => {
          state.owner?.stop();
          state.owner = epoch === undefined ? undefined : this.makeOwner(service, epoch, state);
        },
      }),
    };
    return state;
  }

  private makeOwner(service: string, epoch: number, state: ServiceState): ServiceOwner {
    const { settings, peers, control, directory, logger, metrics, publish, access } = this.options;
    const host = (): ReturnType<ServiceOwnerships['hostOf']> => this.hostOf(service);
    return new ServiceOwner(
      {
        service,
        epoch,
        holder: settings.name,
        host,
        directory,
        control,
        ceiling: this.ceiling(service),
        policies: settings.policies,
        logger,
        metrics,
        publish,
        onNoAnswer: (address) => access.suspect(address),
        isOwner: () => state.ownership.isOwner(),
        orderDelayMs: () => state.ownership.orderDelayMs(),
        daemonCount: () => peers.live().length,
      },
      () => state.ownership.giveUp('a backend has seen a higher epoch'),
    );
  }

  private hostOf(
    service: string,
  ): NonNullable<ServiceConfiguration>['services'][number]['modelHost'] {
    return this.configuration?.services.find(({ name }) => name === service)?.modelHost;
  }

  private ceiling(service: string): StoreLoadCeiling {
    const { storeLoadWindowSeconds, storeLoadExcess } = this.options.settings.bounds;
    const rate = this.hostOf(service)?.loadsPerSecond ?? 0;
    const loads = rate * storeLoadWindowSeconds * storeLoadExcess + EXTRA_LOADS_PER_WINDOW;
    return { windowMs: storeLoadWindowSeconds * 1_000, loads };
  }
}
