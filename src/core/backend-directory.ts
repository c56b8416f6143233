/**
 * One daemon's view of the backends. It combines the platform's list, the latest placement
 * updates from the owners of the services, and the refusals that this daemon received itself.
 * No I/O; times are milliseconds of a monotonic clock.
 */
import { adapterKey } from './backend-ledger.js';
import {
  BackendPresence,
  type BackendList,
  type EndedBackend,
  type PresenceChanges,
} from './backend-presence.js';
import { AnnouncedShutdowns, type BackendProcess } from './announced-shutdowns.js';
import { BackendStarts, type BackendRestart } from './backend-starts.js';
import { UNIFORM_CAPACITY, type CapacityView } from './capacity/capacity-view.js';
import { ReceivedCapacity } from './capacity/received-capacity.js';
import type { PlacedModel, PlacementUpdate } from './placement-update.js';
import type { BackendRecord, HeldModel, ModelReference } from './service-configuration.js';

/** A model at a backend, as the owner of the service last reported it. */
interface PlacedModelState extends HeldModel {
  /** Time at which the load is expected to finish; 0 if the model is loaded. */
  readonly readyAt: number;
  readonly unloading: boolean;
}

/** A model load in progress that the owner of the service ordered. */
export interface ExpectedLoad {
  readonly model: string;
  readonly expectedEnd: number;
}

/** State of one service, as its owner last reported it. */
interface ReceivedPlacement {
  readonly epoch: number;
  version: number;
  /** False after part of the state was discarded; incremental updates are then rejected until a full one arrives. */
  isComplete: boolean;
  /** Time of the last update from the owner. */
  receivedAt: number;
  readonly backends: Map<string, readonly PlacedModelState[]>;
  /** For models that no backend holds: the time at which they are expected to be loaded. */
  readonly forecasts: Map<string, number>;
  /** Requests in flight at each backend, summed over all daemons. */
  readonly loads: Map<string, number>;
  readonly capacity: ReceivedCapacity;
  /** Maximum number of concurrent loads from the weight store, as learned by the owner; 0 if unknown. */
  storeLoadLimit: number;
}

/** Result of applying an owner's placement update. */
export type PlacementUpdateOutcome =
  | 'applied'
  | 'outdated'
  /** An earlier update was missed: the owner must send its full state. */
  | 'gap';

/** Placement data older than this is ignored and the platform's list is used instead. */
const PLACEMENT_LIFETIME_MS = 2_500;
/** After a backend refuses a request because it lacks the model, it counts as lacking it for this long. */
const MISSING_MODEL_LIFETIME_MS = 700;

/** The backends of all services. */
export class BackendDirectory {
  private readonly presence = new BackendPresence();
  private readonly placements = new Map<string, ReceivedPlacement>();
  private readonly missingModels = new Map<string, number>();
  private readonly starts = new BackendStarts();
  private readonly announcedShutdowns = new AnnouncedShutdowns();
  private restarts: BackendRestart[] = [];

  /** Replaces the platform's list. A process listed as leaving never serves again, whatever later lists show. */
  setBackends(list: BackendList, now: number): PresenceChanges {
    for (const record of list.backends) if (record.leaving) this.announcedShutdowns.add(record);
    const changes = this.presence.applyList(list, now);
    for (const record of this.presence.all()) this.recordStart(record);
    return changes;
  }

  /** Returns the backends that restarted under the same id since the last call. */
  takeRestarts(): readonly BackendRestart[] {
    const { restarts } = this;
    this.restarts = [];
    return restarts;
  }

  private recordStart(record: BackendRecord): void {
    const restart = this.starts.recordStart(record);
    if (restart === undefined) return;
    this.restarts.push(restart);
    this.discardPreviousStart(record);
  }

  /**
   * Discards what owners and refusals reported about a backend's previous process. The owner may already have
   * reported on the new process, so the placement is marked incomplete and the next incremental update makes
   * the owner send its full state.
   */
  private discardPreviousStart({ id, service }: BackendRecord): void {
    const placement = this.placements.get(service);
    placement?.backends.delete(id);
    placement?.loads.delete(id);
    placement?.capacity.forget(id);
    if (placement !== undefined) placement.isComplete = false;
    for (const key of this.missingModels.keys()) {
      if (key.startsWith(`${id} `)) this.missingModels.delete(key);
    }
  }

  /** Ends backends that have been missing for too long and returns them. */
  expireMissing(now: number): EndedBackend[] {
    return this.presence.expire(now);
  }

  /** Digest of the backends that take new requests; it is equal on daemons that know the same set. */
  servingDigest(): number {
    return this.presence.servingDigest();
  }

  /** Records that a backend is leaving or has ended. Returns false if that was already known. */
  markEnded(end: EndedBackend): boolean {
    return this.presence.markEnded(end);
  }

  /** Records that a backend's process announced its own shutdown. Returns false if that was already known. */
  markLeaving(process: BackendProcess): boolean {
    return this.announcedShutdowns.add(process);
  }

  /** Records a backend that a peer reported and that this daemon's list may not show yet. Returns false if it was already known. */
  addAnnounced(record: BackendRecord, now: number): boolean {
    const isNew = this.presence.addAnnounced(record, now);
    const known = this.presence.get(record.id);
    if (isNew && known !== undefined) this.recordStart(known);
    return isNew;
  }

  /** Returns the backend with an id, whether it takes new requests or not. */
  get(id: string): BackendRecord | undefined {
    return this.presence.get(id);
  }

  /** Returns the backend with an id if it takes new requests. */
  getServing(id: string): BackendRecord | undefined {
    const record = this.presence.get(id);
    return record !== undefined && this.isServing(record) ? record : undefined;
  }

  /** Returns all known backends; those that announced their shutdown are marked as leaving. */
  all(): BackendRecord[] {
    const all = this.presence.all();
    if (this.announcedShutdowns.isEmpty) return all;
    return all.map((record) =>
      this.announcedShutdowns.has(record) ? { ...record, leaving: true } : record,
    );
  }

  /** Returns the backends of a service that take new requests. */
  servingBackends(service: string): BackendRecord[] {
    return this.all().filter((backend) => backend.service === service && this.isServing(backend));
  }

  /** Whether a backend takes new requests: the list says so and it has not announced its shutdown. */
  private isServing(record: BackendRecord): boolean {
    return this.presence.isServing(record) && !this.announcedShutdowns.has(record);
  }

  /**
   * Applies an owner's placement update. An incremental update is applied only to exactly the version
   * that it was computed from, so that this daemon never holds a state that no owner had.
   */
  applyPlacementUpdate(update: PlacementUpdate, now: number): PlacementUpdateOutcome {
    const known = this.placements.get(update.service);
    const epoch = known?.epoch ?? 0;
    if (update.epoch < epoch) return 'outdated';
    const isNewEpoch = known === undefined || update.epoch > epoch;
    if (update.baseVersion === undefined) {
      if (!isNewEpoch && update.version < known.version) return 'outdated';
      const previousCapacity = known?.capacity;
      const capacity = isNewEpoch
        ? new ReceivedCapacity(previousCapacity)
        : known.capacity.cleared();
      this.placements.set(update.service, emptyPlacement(update.epoch, capacity));
    } else {
      if (isNewEpoch) return 'gap';
      if (update.version < known.version) return 'outdated';
      if (update.baseVersion !== known.version || !known.isComplete) return 'gap';
    }
    this.apply(update, now);
    return 'applied';
  }

  private apply(update: PlacementUpdate, now: number): void {
    const placement = this.placements.get(update.service);
    if (placement === undefined) return;
    placement.version = update.version;
    placement.receivedAt = now;
    placement.storeLoadLimit = update.storeLoadLimit;
    for (const [backend, models] of update.backends) {
      placement.backends.set(
        backend,
        models.map((model) => placedModelState(model, now)),
      );
    }
    for (const [model, readyInMs] of update.forecasts)
      placement.forecasts.set(model, now + readyInMs);
    for (const [backend, inFlight] of update.loads) placement.loads.set(backend, inFlight);
    placement.capacity.applyUpdate(update.capacity, now);
    for (const backend of update.removedBackends) {
      placement.backends.delete(backend);
      placement.loads.delete(backend);
      placement.capacity.forget(backend);
    }
    for (const model of update.removedForecasts) placement.forecasts.delete(model);
  }

  /** The highest fencing token received for a service; 0 if there was none. */
  epochOf(service: string): number {
    return this.placements.get(service)?.epoch ?? 0;
  }

  /** Milliseconds since the last update from the service's owner; infinite if there was none. */
  placementAgeMs(service: string, now: number): number {
    const known = this.placements.get(service);
    return known === undefined ? Infinity : now - known.receivedAt;
  }

  /** The model that the backend is loading according to the owner, and when the load is expected to finish. */
  expectedLoadAt(backend: BackendRecord, now: number): ExpectedLoad | undefined {
    const models = this.freshPlacement(backend.service, now)?.backends.get(backend.id) ?? [];
    const loading = models.find((model) => model.readyAt > now && !model.unloading);
    return loading && { model: loading.name, expectedEnd: loading.readyAt };
  }

  /** Maximum number of concurrent loads from the weight store, as the last owner reported it; 0 if unknown. */
  storeLoadLimitOf(service: string): number {
    return this.placements.get(service)?.storeLoadLimit ?? 0;
  }

  /** Requests in flight at a backend over all daemons, as the owner last reported; 0 if unknown. */
  inFlightAt(backend: BackendRecord, now: number): number {
    return this.freshPlacement(backend.service, now)?.loads.get(backend.id) ?? 0;
  }

  /** Capacity estimates of the service's owner; all backends count as equal if there are none. */
  capacityOf(service: string, now: number): CapacityView {
    return this.placements.get(service)?.capacity.view(now) ?? UNIFORM_CAPACITY;
  }

  /** Records that a backend refused a request because it lacks the model. */
  markModelMissing(backend: string, reference: ModelReference, now: number): void {
    this.missingModels.set(missingModelKey(backend, reference), now + MISSING_MODEL_LIFETIME_MS);
  }

  /** Whether a backend holds the model, and the adapter if one is given, so that it can run a request now. */
  holds(backend: BackendRecord, reference: ModelReference, now: number): boolean {
    const held = this.heldModel(backend, reference.model, now);
    if (held === undefined) return false;
    if (reference.adapter !== undefined && !held.adapters.includes(reference.adapter)) return false;
    const missingUntil = this.missingModels.get(missingModelKey(backend.id, reference));
    return missingUntil === undefined || missingUntil <= now;
  }

  /**
   * Finds a loaded model in the owner's placement, or in the platform's list if the placement does not
   * cover the backend. Runs for every backend each time a waiting request is examined, so it allocates nothing.
   */
  private heldModel(backend: BackendRecord, model: string, now: number): HeldModel | undefined {
    const placed = this.freshPlacement(backend.service, now)?.backends.get(backend.id);
    if (placed === undefined) return backend.models.find((held) => held.name === model);
    const known = placed.find((held) => held.name === model);
    return known !== undefined && isReady(known) ? known : undefined;
  }

  /**
   * Milliseconds until a backend that is not excluded is expected to hold the model, and the adapter
   * if the request names one; undefined if the owner has given no estimate.
   */
  readyInMs(
    service: string,
    reference: ModelReference,
    now: number,
    isExcluded: (backend: string) => boolean,
  ): number | undefined {
    const placement = this.freshPlacement(service, now);
    if (placement === undefined) return undefined;
    const { model } = reference;
    const adapterReadyAt = placement.forecasts.get(adapterKey(reference));
    if (reference.adapter !== undefined && adapterReadyAt !== undefined) {
      return Math.max(0, Math.round(adapterReadyAt - now));
    }
    let readyAt = placement.forecasts.get(model) ?? Infinity;
    for (const [backend, models] of placement.backends) {
      if (isExcluded(backend)) continue;
      const placed = models.find((candidate) => candidate.name === model && !candidate.unloading);
      if (placed !== undefined) readyAt = Math.min(readyAt, placed.readyAt);
    }
    return readyAt === Infinity ? undefined : Math.max(0, Math.round(readyAt - now));
  }

  private freshPlacement(service: string, now: number): ReceivedPlacement | undefined {
    const placement = this.placements.get(service);
    if (placement === undefined || now - placement.receivedAt > PLACEMENT_LIFETIME_MS)
      return undefined;
    return placement;
  }
}

function emptyPlacement(epoch: number, capacity: ReceivedCapacity): ReceivedPlacement {
  return {
    epoch,
    version: 0,
    isComplete: true,
    receivedAt: 0,
    backends: new Map(),
    forecasts: new Map(),
    loads: new Map(),
    capacity,
    storeLoadLimit: 0,
  };
}

function placedModelState(model: PlacedModel, now: number): PlacedModelState {
  const { name, adapters, readyInMs, unloading } = model;
  return { name, adapters, readyAt: readyInMs === 0 ? 0 : now + readyInMs, unloading };
}

function isReady(model: PlacedModelState): boolean {
  return model.readyAt === 0 && !model.unloading;
}

function missingModelKey(backend: string, reference: ModelReference): string {
  return `${backend} ${reference.model} ${reference.adapter ?? ''}`;
}
