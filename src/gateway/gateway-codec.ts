/** Converts types of the gateway to and from messages of the internal protocol. */
import { create } from '@bufbuild/protobuf';
import type { EndedBackend } from '../core/backend-presence.js';
import type { DemandReport } from '../core/demand-report.js';
import type { PlacedModel, PlacementUpdate } from '../core/placement-update.js';
import type { BackendRecord } from '../core/service-configuration.js';
import { eraOf, positionOf, revisionOf, type StorePosition } from '../core/store-position.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  BackendEndSchema,
  BackendLoadSchema,
  BackendPlacementSchema,
  BackendStartSchema,
  BackendUseSchema,
  DirectoryNewsSchema,
  HeldModelSchema,
  ModelDemandSchema,
  ModelForecastSchema,
  OwnershipResignedSchema,
  ServiceDemandSchema,
  ServicePlacementSchema,
  type BackendStart,
  type DirectoryNews,
  type ServiceDemand,
  type ServicePlacement,
} from '../proto/gen/internal_pb.js';
import { decodeFigures, decodeGaps, encodeFigures, encodeGaps } from './capacity-codec.js';

/** Encodes a daemon's demand. */
export function encodeDemand(
  service: string,
  report: DemandReport,
  configurationVersion: number,
): PeerBody {
  const models = report.samples.map((sample) =>
    create(ModelDemandSchema, { ...sample, adapter: sample.adapter ?? '' }),
  );
  const use = report.use.map((entry) =>
    create(BackendUseSchema, { ...entry, adapter: entry.adapter ?? '' }),
  );
  const failing = [...report.failing];
  const gaps = encodeGaps(report.gaps);
  const fields = { service, models, use, configurationVersion, failing, ...gaps };
  const value = create(ServiceDemandSchema, fields);
  return { case: 'serviceDemand', value };
}

/** Encodes an owner's resignation. */
export function encodeResignation(service: string, epoch: number, successor: string): PeerBody {
  const value = create(OwnershipResignedSchema, { service, epoch, successor });
  return { case: 'ownershipResigned', value };
}

/** Decodes a daemon's demand. */
export function decodeDemand(daemon: string, message: ServiceDemand): DemandReport {
  return {
    daemon,
    samples: message.models.map((sample) => ({
      model: sample.model,
      adapter: sample.adapter === '' ? undefined : sample.adapter,
      arrivals: sample.arrivals,
      waiting: sample.waiting,
      goalMs: sample.goalMs,
      dueInMs: sample.dueInMs,
    })),
    use: message.use.map((entry) => ({
      backend: entry.backend,
      model: entry.model,
      adapter: entry.adapter === '' ? undefined : entry.adapter,
      inFlight: entry.inFlight,
    })),
    failing: message.failing,
    gaps: decodeGaps(message),
  };
}

/** Encodes an owner's placement update. */
export function encodePlacement(update: PlacementUpdate, configurationVersion: number): PeerBody {
  const { service, epoch, version, baseVersion } = update;
  const backends = [...update.backends].map(([backend, models]) =>
    create(BackendPlacementSchema, { backend, models: models.map(encodeModel) }),
  );
  const forecasts = [...update.forecasts].map(([model, readyInMs]) =>
    create(ModelForecastSchema, { model, readyInMs }),
  );
  const loads = [...update.loads].map(([backend, inFlight]) =>
    create(BackendLoadSchema, { backend, inFlight }),
  );
  const value = create(ServicePlacementSchema, {
    storeLoadLimit: update.storeLoadLimit,
    loads,
    service,
    epoch,
    version,
    backends,
    forecasts,
    configurationVersion,
    removedBackends: [...update.removedBackends],
    removedForecasts: [...update.removedForecasts],
    ...encodeFigures(update.capacity),
    ...(baseVersion === undefined ? {} : { baseVersion }),
  });
  return { case: 'servicePlacement', value };
}

function encodeModel(model: PlacedModel): ReturnType<typeof create<typeof HeldModelSchema>> {
  const { name, adapters, readyInMs, unloading } = model;
  return create(HeldModelSchema, { model: name, adapters: [...adapters], readyInMs, unloading });
}

/** Decodes an owner's placement update. */
export function decodePlacement(message: ServicePlacement): PlacementUpdate {
  const backends = new Map<string, PlacedModel[]>();
  for (const { backend, models } of message.backends) {
    const placed = models.map(({ model, adapters, readyInMs, unloading }) => {
      return { name: model, adapters, readyInMs, unloading };
    });
    backends.set(backend, placed);
  }
  const { service, epoch, version, baseVersion, removedBackends, removedForecasts } = message;
  const forecasts = new Map(message.forecasts.map((entry) => [entry.model, entry.readyInMs]));
  const loads = new Map(message.loads.map((entry) => [entry.backend, entry.inFlight]));
  return {
    storeLoadLimit: message.storeLoadLimit,
    loads,
    service,
    epoch,
    version,
    baseVersion,
    backends,
    removedBackends,
    forecasts,
    removedForecasts,
    capacity: decodeFigures(message),
  };
}

/** A report to the other daemons, sent by a daemon that watches the platform's directory. */
export interface DirectoryReport {
  readonly configurationVersion: number;
  readonly ended: readonly EndedBackend[];
  /** Backends with their locations, without the models that they hold. */
  readonly started: readonly BackendRecord[];
  /** Whether the platform does not answer the sender. */
  readonly platformAway: boolean;
  /** Digest of the backends that the sender lists as serving; undefined if the sender reports none. */
  readonly servingDigest: number | undefined;
}

/** Encodes a directory report. */
export function encodeDirectoryReport(news: DirectoryReport): PeerBody {
  const ends = news.ended.map(({ id, revision: position }) =>
    create(BackendEndSchema, { backend: id, ...placeOf(position) }),
  );
  const starts = news.started.map((record) => {
    const { id, service, address, zone, slots, start = '', softwareVersion } = record;
    const place = { service, address, zone, slots, start, ...versionOf(softwareVersion) };
    return create(BackendStartSchema, { backend: id, ...placeOf(record.revision), ...place });
  });
  const { configurationVersion, platformAway, servingDigest } = news;
  const value = create(DirectoryNewsSchema, {
    configurationVersion,
    ends,
    starts,
    platformAway,
    ...(servingDigest === undefined ? {} : { servingDigest }),
  });
  return { case: 'directoryNews', value };
}

/**
 * Decodes a directory report.
 *
 * @param presentEra - The era of the store that the receiver knows. It applies to entries of earlier builds, which have no era.
 */
export function decodeDirectoryReport(message: DirectoryNews, presentEra: number): DirectoryReport {
  const ended = message.ends.map(({ backend, revision, era = presentEra }) => {
    return { id: backend, revision: positionOf(era, revision) };
  });
  const started = message.starts.map((start) => decodeStart(start, presentEra));
  const { configurationVersion, platformAway, servingDigest } = message;
  return { configurationVersion, ended, started, platformAway, servingDigest };
}

function placeOf(position: StorePosition): { readonly revision: number; readonly era: number } {
  return { revision: revisionOf(position), era: eraOf(position) };
}

/** An unknown version has no field. */
function versionOf(softwareVersion: string | undefined): { readonly softwareVersion?: string } {
  return softwareVersion === undefined ? {} : { softwareVersion };
}

function decodeStart(message: BackendStart, presentEra: number): BackendRecord {
  const { backend, service, address, zone, slots, start, era = presentEra } = message;
  const revision = positionOf(era, message.revision);
  const holdings = { models: [], sequence: 0, inMemory: [], onDisk: [] };
  const place = { id: backend, revision, service, address, zone, slots, leaving: false };
  const version = versionOf(message.softwareVersion);
  return { ...place, ...holdings, ...version, ...(start === '' ? {} : { start }) };
}
