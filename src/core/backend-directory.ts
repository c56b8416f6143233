/**
 * What one daemon knows about the backends: the platform's list, the newest word
 * of the services' owners on loaded models, and refusals that it has met itself.
 * Pure; times are milliseconds of a steady clock.
 */
import type { BackendRecord, HeldModel, ModelReference } from './service-configuration.js';

/** A model at a backend, as its owner tells. */
export interface PlacedModel extends HeldModel {
  /** Milliseconds until it is loaded, from when the owner said so; 0 when it is. */
  readonly readyInMs: number;
  /** No new request may go there. */
  readonly unloading: boolean;
}

/** The owner's word on one service. */
export interface PlacementView {
  readonly service: string;
  /** Fencing token of the owner. */
  readonly epoch: number;
  /** Rises with each change within an epoch. */
  readonly version: number;
  readonly backends: ReadonlyMap<string, readonly PlacedModel[]>;
  /** Milliseconds until a model that no backend holds is expected to be loaded. */
  readonly forecasts: ReadonlyMap<string, number>;
}

/** Ended backends that are remembered; their names never come back. */
const REMEMBERED_ENDS = 2_000;

interface HeardPlacement {
  readonly view: PlacementView;
  readonly heardAt: number;
}

/** An owner's word counts so long; then the platform's list is believed. */
const PLACEMENT_LIFETIME_MS = 2_500;
/** A backend that said that it lacks a model is believed so long. */
const ABSENCE_LIFETIME_MS = 700;

/** The backends of all services. */
export class BackendDirectory {
  private backends = new Map<string, BackendRecord>();
  private readonly placements = new Map<string, HeardPlacement>();
  private readonly absences = new Map<string, number>();
  /** Backends that are leaving or gone, whatever a late list says. */
  private readonly ended = new Set<string>();

  /** Replaces the platform's list. Returns the backends that have ended since the last one. */
  setBackends(records: readonly BackendRecord[]): string[] {
    const before = this.backends;
    this.backends = new Map(records.map((record) => [record.id, record]));
    const ended = [...before.keys()].filter((id) => !this.backends.has(id));
    for (const record of records) {
      if (record.leaving) ended.push(record.id);
    }
    return ended.filter((id) => this.noteEnded(id));
  }

  /** A backend is leaving or gone, for good. Returns false if that was known. */
  noteEnded(id: string): boolean {
    if (this.ended.has(id)) return false;
    this.ended.add(id);
    if (this.ended.size > REMEMBERED_ENDS) {
      const [oldest] = this.ended;
      if (oldest !== undefined) this.ended.delete(oldest);
    }
    return true;
  }

  /** The backend of an id. */
  get(id: string): BackendRecord | undefined {
    return this.backends.get(id);
  }

  /** All listed backends. */
  all(): BackendRecord[] {
    return [...this.backends.values()];
  }

  /** Backends of a service that take new requests. */
  serving(service: string): BackendRecord[] {
    return this.all().filter(
      (backend) => backend.service === service && !backend.leaving && !this.ended.has(backend.id),
    );
  }

  /** Takes the owner's word, unless newer is known. */
  hearPlacement(view: PlacementView, now: number): boolean {
    const known = this.placements.get(view.service);
    if (known !== undefined && !isNewer(view, known.view)) return false;
    this.placements.set(view.service, { view, heardAt: now });
    return true;
  }

  /** The newest fencing token heard of for a service; 0 for none. */
  epochOf(service: string): number {
    return this.placements.get(service)?.view.epoch ?? 0;
  }

  /** Milliseconds since an owner's last word; infinite if there was none. */
  placementAgeMs(service: string, now: number): number {
    const known = this.placements.get(service);
    return known === undefined ? Infinity : now - known.heardAt;
  }

  /** A backend has refused a request because it lacks the model. */
  noteAbsence(backend: string, reference: ModelReference, now: number): void {
    this.absences.set(keyOf(backend, reference), now + ABSENCE_LIFETIME_MS);
  }

  /** Whether a backend can run a request for the model now. */
  holds(backend: BackendRecord, reference: ModelReference, now: number): boolean {
    const absentUntil = this.absences.get(keyOf(backend.id, reference));
    if (absentUntil !== undefined && absentUntil > now) return false;
    const placed = this.placedModel(backend, reference.model, now);
    const held = placed ?? backend.models.find((model) => model.name === reference.model);
    if (held === undefined || (placed !== undefined && !isReady(placed))) return false;
    return reference.adapter === undefined || held.adapters.includes(reference.adapter);
  }

  /** Milliseconds until some backend holds the model; undefined if nobody has said. */
  readyInMs(service: string, model: string, now: number): number | undefined {
    const heard = this.freshPlacement(service, now);
    if (heard === undefined) return undefined;
    const times: number[] = [];
    for (const models of heard.view.backends.values()) {
      const placed = models.find((candidate) => candidate.name === model && !candidate.unloading);
      if (placed !== undefined) times.push(placed.readyInMs);
    }
    const forecast = heard.view.forecasts.get(model);
    if (forecast !== undefined) times.push(forecast);
    if (times.length === 0) return undefined;
    return Math.max(0, Math.round(Math.min(...times) - (now - heard.heardAt)));
  }

  private placedModel(backend: BackendRecord, model: string, now: number): PlacedModel | undefined {
    const models = this.freshPlacement(backend.service, now)?.view.backends.get(backend.id);
    if (models === undefined) return undefined;
    const absent = { name: model, adapters: [], readyInMs: 0, unloading: true };
    return models.find((candidate) => candidate.name === model) ?? absent;
  }

  private freshPlacement(service: string, now: number): HeardPlacement | undefined {
    const heard = this.placements.get(service);
    if (heard === undefined || now - heard.heardAt > PLACEMENT_LIFETIME_MS) return undefined;
    return heard;
  }
}

function isReady(placed: PlacedModel): boolean {
  return placed.readyInMs === 0 && !placed.unloading;
}

function isNewer(view: PlacementView, known: PlacementView): boolean {
  if (view.epoch !== known.epoch) return view.epoch > known.epoch;
  return view.version >= known.version;
}

function keyOf(backend: string, reference: ModelReference): string {
  return `${backend} ${reference.model} ${reference.adapter ?? ''}`;
}
