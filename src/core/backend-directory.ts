/**
 * What one daemon knows about the backends: the platform's list, the newest word
 * of the services' owners on loaded models, and refusals that it has met itself.
 * Pure; times are milliseconds of a steady clock.
 */
import { adapterKey } from './backend-ledger.js';
import {
  BackendPresence,
  type BackendList,
  type EndedBackend,
  type PresenceChanges,
} from './backend-presence.js';
import { DeclaredLeavings, type BackendProcess } from './declared-leavings.js';
import { BackendStarts, type BackendRestart } from './backend-starts.js';
import { EVEN_CAPACITY, type CapacityView } from './capacity/capacity-view.js';
import { HeardCapacity } from './capacity/heard-capacity.js';
import type { PlacedModel, PlacementUpdate } from './placement-update.js';
import type { BackendRecord, HeldModel, ModelReference } from './service-configuration.js';

/** A model at a backend, as this daemon knows it from the owner. */
interface HeardModel extends HeldModel {
  /** When it is expected to be loaded; 0 when it is. */
  readonly readyAt: number;
  readonly unloading: boolean;
}

/** A load that an owner has ordered. */
export interface ExpectedLoad {
  readonly model: string;
  readonly expectedEnd: number;
}

/** All that this daemon knows from the owner of a service. */
interface HeardPlacement {
  readonly epoch: number;
  version: number;
  /** False once a part was dropped: changes apply to nothing then. */
  isWhole: boolean;
  /** When the owner was last heard. */
  heardAt: number;
  readonly backends: Map<string, readonly HeardModel[]>;
  /** Expected times at which models that no backend holds are loaded. */
  readonly forecasts: Map<string, number>;
  /** Requests in flight at each backend, over all daemons. */
  readonly loads: Map<string, number>;
  readonly capacity: HeardCapacity;
  /** Loads from the weight store that may run at once, as the owner has learned; 0 if nothing is known. */
  storeLoadLimit: number;
}

/** What has become of an owner's update. */
export type UpdateOutcome =
  | 'applied'
  | 'outdated' /** An earlier update was missed: the owner must tell everything. */
  | 'gap';

/** An owner's word counts so long; then the platform's list is believed. */
const PLACEMENT_LIFETIME_MS = 2_500;
/** A backend that said that it lacks a model is believed so long. */
const ABSENCE_LIFETIME_MS = 700;

/** The backends of all services. */
export class BackendDirectory {
  private readonly presence = new BackendPresence();
  private readonly placements = new Map<string, HeardPlacement>();
  private readonly absences = new Map<string, number>();
  private readonly starts = new BackendStarts();
  private readonly declared = new DeclaredLeavings();
  private restarts: BackendRestart[] = [];

  /** Replaces the platform's list. A process that it shows as leaving does not serve again, whatever later lists show. */
  setBackends(list: BackendList, now: number): PresenceChanges {
    for (const record of list.backends) if (record.leaving) this.declared.note(record);
    const changes = this.presence.take(list, now);
    for (const record of this.presence.all()) this.noteStart(record);
    return changes;
  }

  /** Backends that have started again under their id since the last call. */
  takeRestarts(): readonly BackendRestart[] {
    const { restarts } = this;
    this.restarts = [];
    return restarts;
  }

  private noteStart(record: BackendRecord): void {
    const restart = this.starts.note(record);
    if (restart === undefined) return;
    this.restarts.push(restart);
    this.forgetHeard(record);
  }

  /**
   * What owners and refusals have told of a backend's earlier start counts no more. The owner may have told of
   * the later one already, so it is asked for everything with its next word.
   */
  private forgetHeard({ id, service }: BackendRecord): void {
    const heard = this.placements.get(service);
    heard?.backends.delete(id);
    heard?.loads.delete(id);
    heard?.capacity.forget(id);
    if (heard !== undefined) heard.isWhole = false;
    for (const key of this.absences.keys()) {
      if (key.startsWith(`${id} `)) this.absences.delete(key);
    }
  }

  /** Looks at backends that were missing for a while; returns those that count as ended now. */
  expireMissing(now: number): EndedBackend[] {
    return this.presence.expire(now);
  }

  /** A digest of the backends that take new requests; daemons that hold the same ones have the same. */
  servingDigest(): number {
    return this.presence.servingDigest();
  }

  /** A backend is leaving or gone. Returns false if that was known. */
  noteEnded(end: EndedBackend): boolean {
    return this.presence.noteEnded(end);
  }

  /** A backend's process has said itself that it leaves. Returns false if that was known. */
  noteLeaving(process: BackendProcess): boolean {
    return this.declared.note(process);
  }

  /** A peer has seen a backend that is not listed here yet. Returns false if that was known. */
  noteStarted(record: BackendRecord, now: number): boolean {
    const isNews = this.presence.noteStarted(record, now);
    const known = this.presence.get(record.id);
    if (isNews && known !== undefined) this.noteStart(known);
    return isNews;
  }

  /** The backend of an id. */
  get(id: string): BackendRecord | undefined {
    return this.presence.get(id);
  }

  /** The backend of an id, if it takes new requests. */
  servingOne(id: string): BackendRecord | undefined {
    const record = this.presence.get(id);
    return record !== undefined && this.isServing(record) ? record : undefined;
  }

  /** All listed backends. */
  all(): BackendRecord[] {
    const all = this.presence.all();
    if (this.declared.isEmpty) return all;
    return all.map((record) => (this.declared.has(record) ? { ...record, leaving: true } : record));
  }

  /** Backends of a service that take new requests. */
  serving(service: string): BackendRecord[] {
    return this.all().filter((backend) => backend.service === service && this.isServing(backend));
  }

  /** Whether a backend takes new requests, by the list and by its own word. */
  private isServing(record: BackendRecord): boolean {
    return this.presence.isServing(record) && !this.declared.has(record);
  }

  /**
   * Takes an owner's update. Changes apply only to exactly the version that they
   * were made for, so that this daemon never holds a state that no owner had.
   */
  hearPlacement(update: PlacementUpdate, now: number): UpdateOutcome {
    const known = this.placements.get(update.service);
    const epoch = known?.epoch ?? 0;
    if (update.epoch < epoch) return 'outdated';
    const isNewEpoch = known === undefined || update.epoch > epoch;
    if (update.baseVersion === undefined) {
      if (!isNewEpoch && update.version < known.version) return 'outdated';
      const former = known?.capacity;
      const capacity = isNewEpoch ? new HeardCapacity(former) : known.capacity.emptied();
      this.placements.set(update.service, emptyPlacement(update.epoch, capacity));
    } else {
      if (isNewEpoch) return 'gap';
      if (update.version < known.version) return 'outdated';
      if (update.baseVersion !== known.version || !known.isWhole) return 'gap';
    }
    this.apply(update, now);
    return 'applied';
  }

  private apply(update: PlacementUpdate, now: number): void {
    const heard = this.placements.get(update.service);
    if (heard === undefined) return;
    heard.version = update.version;
    heard.heardAt = now;
    heard.storeLoadLimit = update.storeLoadLimit;
    for (const [backend, models] of update.backends) {
      heard.backends.set(
        backend,
        models.map((model) => heardModel(model, now)),
      );
    }
    for (const [model, readyInMs] of update.forecasts) heard.forecasts.set(model, now + readyInMs);
    for (const [backend, inFlight] of update.loads) heard.loads.set(backend, inFlight);
    heard.capacity.take(update.capacity, now);
    for (const backend of update.removedBackends) {
      heard.backends.delete(backend);
      heard.loads.delete(backend);
      heard.capacity.forget(backend);
    }
    for (const model of update.removedForecasts) heard.forecasts.delete(model);
  }

  /** The newest fencing token heard of for a service; 0 for none. */
  epochOf(service: string): number {
    return this.placements.get(service)?.epoch ?? 0;
  }

  /** Milliseconds since an owner's last word; infinite if there was none. */
  placementAgeMs(service: string, now: number): number {
    const known = this.placements.get(service);
    return known === undefined ? Infinity : now - known.heardAt;
  }

  /** The model that a backend was last said to be loading, and when that is expected to end. */
  loadingAt(backend: BackendRecord, now: number): ExpectedLoad | undefined {
    const models = this.freshPlacement(backend.service, now)?.backends.get(backend.id) ?? [];
    const loading = models.find((model) => model.readyAt > now && !model.unloading);
    return loading && { model: loading.name, expectedEnd: loading.readyAt };
  }

  /** Loads from the weight store that may run at once, as the last owner had learned; 0 if nobody has said. */
  storeLoadLimitOf(service: string): number {
    return this.placements.get(service)?.storeLoadLimit ?? 0;
  }

  /** Requests that all daemons together have in flight at a backend, as far as is known. */
  loadOf(backend: BackendRecord, now: number): number {
    return this.freshPlacement(backend.service, now)?.loads.get(backend.id) ?? 0;
  }

  /** What the owner has learned of the service's backends. */
  capacityOf(service: string, now: number): CapacityView {
    return this.placements.get(service)?.capacity.view(now) ?? EVEN_CAPACITY;
  }

  /** A backend has refused a request because it lacks the model. */
  noteAbsence(backend: string, reference: ModelReference, now: number): void {
    this.absences.set(keyOf(backend, reference), now + ABSENCE_LIFETIME_MS);
  }

  /** Whether a backend can run a request for the model now. */
  holds(backend: BackendRecord, reference: ModelReference, now: number): boolean {
    const held = this.heldModel(backend, reference.model, now);
    if (held === undefined) return false;
    if (reference.adapter !== undefined && !held.adapters.includes(reference.adapter)) return false;
    const absentUntil = this.absences.get(keyOf(backend.id, reference));
    return absentUntil === undefined || absentUntil <= now;
  }

  /**
   * By the owner's word, or by the list if the owner has said nothing of the backend. Asked of
   * each backend for each look at a waiting request, so it allocates nothing.
   */
  private heldModel(backend: BackendRecord, model: string, now: number): HeldModel | undefined {
    const placed = this.freshPlacement(backend.service, now)?.backends.get(backend.id);
    if (placed === undefined) return backend.models.find((held) => held.name === model);
    const heard = placed.find((held) => held.name === model);
    return heard !== undefined && isReady(heard) ? heard : undefined;
  }

  /**
   * Milliseconds until some backend that is not avoided holds the model, and the adapter
   * if one is wanted; undefined if nobody has said.
   */
  readyInMs(
    service: string,
    reference: ModelReference,
    now: number,
    isAvoided: (backend: string) => boolean,
  ): number | undefined {
    const heard = this.freshPlacement(service, now);
    if (heard === undefined) return undefined;
    const { model } = reference;
    const adapterReadyAt = heard.forecasts.get(adapterKey(reference));
    if (reference.adapter !== undefined && adapterReadyAt !== undefined) {
      return Math.max(0, Math.round(adapterReadyAt - now));
    }
    let readyAt = heard.forecasts.get(model) ?? Infinity;
    for (const [backend, models] of heard.backends) {
      if (isAvoided(backend)) continue;
      const placed = models.find((candidate) => candidate.name === model && !candidate.unloading);
      if (placed !== undefined) readyAt = Math.min(readyAt, placed.readyAt);
    }
    return readyAt === Infinity ? undefined : Math.max(0, Math.round(readyAt - now));
  }

  private freshPlacement(service: string, now: number): HeardPlacement | undefined {
    const heard = this.placements.get(service);
    if (heard === undefined || now - heard.heardAt > PLACEMENT_LIFETIME_MS) return undefined;
    return heard;
  }
}

function emptyPlacement(epoch: number, capacity: HeardCapacity): HeardPlacement {
  return {
    epoch,
    version: 0,
    isWhole: true,
    heardAt: 0,
    backends: new Map(),
    forecasts: new Map(),
    loads: new Map(),
    capacity,
    storeLoadLimit: 0,
  };
}

function heardModel(model: PlacedModel, now: number): HeardModel {
  const { name, adapters, readyInMs, unloading } = model;
  return { name, adapters, readyAt: readyInMs === 0 ? 0 : now + readyInMs, unloading };
}

function isReady(heard: HeardModel): boolean {
  return heard.readyAt === 0 && !heard.unloading;
}

function keyOf(backend: string, reference: ModelReference): string {
  return `${backend} ${reference.model} ${reference.adapter ?? ''}`;
}
