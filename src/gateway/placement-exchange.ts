/** How a daemon hears where an owner has placed models: from its updates, and from an answer to a question where it missed one. */
import { create } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { PlacementUpdate } from '../core/placement-update.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { PlacementRequestSchema } from '../proto/gen/internal_pb.js';
import { encodePlacement } from './gateway-codec.js';
import { steadyNow } from './steady-clock.js';

/** Between two requests for everything that an owner knows. */
const PLACEMENT_REQUEST_PERIOD_MS = 250;

/** Options of {@link PlacementExchange}. */
export interface PlacementExchangeOptions {
  readonly self: string;
  readonly logger: Logger;
  readonly directory: BackendDirectory;
  /** Everything that this daemon has placed, if it owns the service. */
  readonly everythingOf: (service: string) => PlacementUpdate | undefined;
  /** Version of the configuration in force, which each update names. */
  readonly version: () => number;
  readonly send: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
  /** Another owner than before places the service's models. */
  readonly onNewOwner: (service: string, now: number) => void;
  readonly onApplied: () => void;
}

/** One daemon's part. */
export class PlacementExchange {
  /** Steady times of the last requests for everything, by service. */
  private readonly requestedAt = new Map<string, number>();

  constructor(private readonly options: PlacementExchangeOptions) {}

  /** Tells all daemons of an update of this one, and takes it here. */
  publish(update: PlacementUpdate): void {
    const { self, broadcast, version } = this.options;
    this.hear(self, update);
    broadcast(encodePlacement(update, version()));
  }

  /** An owner has told of an update. */
  hear(owner: string, update: PlacementUpdate): void {
    const { directory, onNewOwner, onApplied } = this.options;
    const now = steadyNow();
    const isNewOwner = update.epoch > directory.epochOf(update.service);
    const outcome = directory.applyPlacementUpdate(update, now);
    if (isNewOwner) onNewOwner(update.service, now);
    if (outcome === 'applied') onApplied();
    if (outcome === 'gap') this.catchUp(owner, update.service, now);
  }

  /** A daemon that has missed an update asks for everything. */
  answerRequest(from: string, service: string): void {
    const { everythingOf, version, send } = this.options;
    const everything = everythingOf(service);
    if (everything === undefined) return;
    send(from, encodePlacement(everything, version()));
  }

  /** Changes can't be applied here: takes everything, from the owner in this process or by a question to another. */
  private catchUp(owner: string, service: string, now: number): void {
    const { self, directory, everythingOf, onApplied } = this.options;
    if (owner !== self) return this.request(owner, service, now);
    const everything = everythingOf(service);
    if (everything === undefined) return;
    directory.applyPlacementUpdate(everything, now);
    onApplied();
  }

  /** An update was missed: the owner tells everything. */
  private request(owner: string, service: string, now: number): void {
    const { directory, logger, send } = this.options;
    const requestedAt = this.requestedAt.get(service) ?? -Infinity;
    if (now - requestedAt < PLACEMENT_REQUEST_PERIOD_MS) return;
    this.requestedAt.set(service, now);
    logger.info('placement_missed', { service, epoch: directory.epochOf(service), owner });
    const value = create(PlacementRequestSchema, { service });
    send(owner, { case: 'placementRequest', value });
  }
}
