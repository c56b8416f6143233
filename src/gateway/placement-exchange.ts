/**
 * Receives where the owner of a service has placed models: from its updates and, after a missed update, from a
 * full update that the daemon requests.
 */
import { create } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { PlacementUpdate } from '../core/placement-update.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { PlacementRequestSchema } from '../proto/gen/internal_pb.js';
import { encodePlacement } from './gateway-codec.js';
import { steadyNow } from './steady-clock.js';

/** Interval between requests for the full placement of a service, in milliseconds. */
const PLACEMENT_REQUEST_PERIOD_MS = 250;

/** Options of {@link PlacementExchange}. */
export interface PlacementExchangeOptions {
  readonly self: string;
  readonly logger: Logger;
  readonly directory: BackendDirectory;
  /** Full placement of the service, if this daemon owns it. */
  readonly fullUpdateOf: (service: string) => PlacementUpdate | undefined;
  /** Version of the configuration in force; sent with each update. */
  readonly version: () => number;
  readonly send: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
  /** Called when a new owner places the service's models. */
  readonly onNewOwner: (service: string, now: number) => void;
  readonly onApplied: () => void;
}

/** Sends, receives and requests placement updates for one daemon. */
export class PlacementExchange {
  /** Steady times of the last requests for a full update, by service. */
  private readonly requestedAt = new Map<string, number>();

  constructor(private readonly options: PlacementExchangeOptions) {}

  /** Applies an update of this daemon and broadcasts it to all others. */
  publish(update: PlacementUpdate): void {
    const { self, broadcast, version } = this.options;
    this.applyUpdate(self, update);
    broadcast(encodePlacement(update, version()));
  }

  /** Applies an update of an owner. */
  applyUpdate(owner: string, update: PlacementUpdate): void {
    const { directory, onNewOwner, onApplied } = this.options;
    const now = steadyNow();
    const isNewOwner = update.epoch > directory.epochOf(update.service);
    const outcome = directory.applyPlacementUpdate(update, now);
    if (isNewOwner) onNewOwner(update.service, now);
    if (outcome === 'applied') onApplied();
    if (outcome === 'gap') this.catchUp(owner, update.service, now);
  }

  /** Sends the full placement to a daemon that has missed an update. */
  replyToRequest(from: string, service: string): void {
    const { fullUpdateOf: everythingOf, version, send } = this.options;
    const fullUpdate = everythingOf(service);
    if (fullUpdate === undefined) return;
    send(from, encodePlacement(fullUpdate, version()));
  }

  /**
   * Handles an incremental update that cannot be applied: takes the full placement from the owner in this
   * process or requests it from the owner's daemon.
   */
  private catchUp(owner: string, service: string, now: number): void {
    const { self, directory, fullUpdateOf: everythingOf, onApplied } = this.options;
    if (owner !== self) return this.requestFullUpdate(owner, service, now);
    const fullUpdate = everythingOf(service);
    if (fullUpdate === undefined) return;
    directory.applyPlacementUpdate(fullUpdate, now);
    onApplied();
  }

  /** Requests the full placement from the owner after a missed update. */
  private requestFullUpdate(owner: string, service: string, now: number): void {
    const { directory, logger, send } = this.options;
    const requestedAt = this.requestedAt.get(service) ?? -Infinity;
    if (now - requestedAt < PLACEMENT_REQUEST_PERIOD_MS) return;
    this.requestedAt.set(service, now);
    logger.info('placement_missed', { service, epoch: directory.epochOf(service), owner });
    const value = create(PlacementRequestSchema, { service });
    send(owner, { case: 'placementRequest', value });
  }
}
