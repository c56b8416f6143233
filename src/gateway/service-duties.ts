/** The services that this daemon owns, or could come to own. */
import type { Logger } from '../common/logger.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { DutyMember } from '../core/duties.js';
import type { DemandReport } from '../core/demand-report.js';
import type { PlacementUpdate } from '../core/placement-update.js';
import type { ServiceConfiguration } from '../core/service-configuration.js';
import type { StoreLoadCeiling } from '../core/store-load-ceiling.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewaySettings } from './gateway-settings.js';
import { Ownership } from './ownership.js';
import type { PeerGroup } from './peer-group.js';
import type { BackendControl, RecordStore } from './ports.js';
import { ServiceOwner } from './service-owner.js';

/** Loads that the ceiling allows besides its rate. */
const CEILING_EXTRA_LOADS = 3;

/** Options of {@link ServiceDuties}. */
export interface ServiceDutiesOptions {
  readonly settings: GatewaySettings;
  readonly peers: PeerGroup;
  readonly store: RecordStore;
  readonly control: BackendControl;
  readonly directory: BackendDirectory;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly listed: () => readonly DutyMember[];
  /** Whether a daemon is heard that the platform answers. */
  readonly platformAnswersOthers: () => boolean;
  readonly publish: (update: PlacementUpdate) => void;
}

interface Duty {
  readonly ownership: Ownership;
  owner: ServiceOwner | undefined;
}

/** Ownership of all services with models. */
export class ServiceDuties {
  private readonly duties = new Map<string, Duty>();
  private configuration: ServiceConfiguration | undefined;
  private stopped = false;

  constructor(private readonly options: ServiceDutiesOptions) {}

  /** Takes a newer configuration. */
  configure(configuration: ServiceConfiguration): void {
    this.configuration = configuration;
    for (const service of configuration.services) {
      if (service.modelHost === undefined || this.duties.has(service.name)) continue;
      this.duties.set(service.name, this.makeDuty(service.name));
    }
  }

  /** Looks at the clock; call it often. */
  tick(): void {
    if (this.stopped) return;
    for (const { ownership, owner } of this.duties.values()) {
      ownership.tick();
      owner?.tick();
    }
  }

  /** Whether this daemon owns a service. */
  ownsAny(): boolean {
    return [...this.duties.values()].some((duty) => duty.owner !== undefined);
  }

  /** Gives all ownership up and claims nothing any more. */
  stop(reason: string): void {
    this.stopped = true;
    for (const { ownership } of this.duties.values()) ownership.stop(reason);
  }

  backendsChanged(): void {
    for (const { owner } of this.duties.values()) owner?.backendsChanged();
  }

  /** Takes a report of demand; false if this daemon does not own the service. */
  hear(service: string, report: DemandReport): boolean {
    const owner = this.duties.get(service)?.owner;
    owner?.hear(report);
    return owner !== undefined;
  }

  hearOwner(address: string, service: string, epoch: number): void {
    this.duties.get(service)?.ownership.hearOwner(address, epoch);
  }

  /** Everything that this daemon tells of a service that it owns. */
  everythingOf(service: string): PlacementUpdate | undefined {
    return this.duties.get(service)?.owner?.everything();
  }

  /** Peer address of a service's owner, if one is known. */
  ownerAddress(service: string): string | undefined {
    return this.duties.get(service)?.ownership.ownerAddress;
  }

  private makeDuty(service: string): Duty {
    const { peers, store, logger, listed, settings, platformAnswersOthers } = this.options;
    const duty: Duty = {
      owner: undefined,
      ownership: new Ownership({
        service,
        peers,
        store,
        logger,
        backendsCheckEpochs: settings.backendsCheckEpochs,
        platformAnswersOthers,
        listed,
        onChange: (epoch) => {
          duty.owner?.stop();
          duty.owner = epoch === undefined ? undefined : this.makeOwner(service, epoch, duty);
        },
      }),
    };
    return duty;
  }

  private makeOwner(service: string, epoch: number, duty: Duty): ServiceOwner {
    const { settings, peers, control, directory, logger, metrics, publish } = this.options;
    const host = (): ReturnType<ServiceDuties['hostOf']> => this.hostOf(service);
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
        isOwner: () => duty.ownership.isOwner(),
        orderDelayMs: () => duty.ownership.orderDelayMs(),
        daemonCount: () => peers.live().length,
      },
      () => duty.ownership.giveUp('a backend has seen a higher epoch'),
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
    const loads = rate * storeLoadWindowSeconds * storeLoadExcess + CEILING_EXTRA_LOADS;
    return { windowMs: storeLoadWindowSeconds * 1_000, loads };
  }
}
