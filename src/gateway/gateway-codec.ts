/** Between the gateway's types and the internal protocol's messages. */
import { create } from '@bufbuild/protobuf';
import type { PlacementView, PlacedModel } from '../core/backend-directory.js';
import type { DemandReport } from '../core/model-demand.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  BackendPlacementSchema,
  BackendUseSchema,
  HeldModelSchema,
  ModelDemandSchema,
  ModelForecastSchema,
  ServiceDemandSchema,
  ServicePlacementSchema,
  type ServiceDemand,
  type ServicePlacement,
} from '../proto/gen/internal_pb.js';

/** A daemon's demand as a message. */
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
  const value = create(ServiceDemandSchema, { service, models, use, configurationVersion });
  return { case: 'serviceDemand', value };
}

/** A daemon's demand out of a message. */
export function decodeDemand(daemon: string, message: ServiceDemand): DemandReport {
  return {
    daemon,
    samples: message.models.map((sample) => ({
      model: sample.model,
      adapter: sample.adapter === '' ? undefined : sample.adapter,
      arrivals: sample.arrivals,
      waiting: sample.waiting,
      goalMs: sample.goalMs,
    })),
    use: message.use.map((entry) => ({
      backend: entry.backend,
      model: entry.model,
      adapter: entry.adapter === '' ? undefined : entry.adapter,
      inFlight: entry.inFlight,
    })),
  };
}

/** An owner's word as a message. */
export function encodePlacement(view: PlacementView, configurationVersion: number): PeerBody {
  const { service, epoch, version } = view;
  const backends = [...view.backends].map(([backend, models]) =>
    create(BackendPlacementSchema, { backend, models: models.map(encodeModel) }),
  );
  const forecasts = [...view.forecasts].map(([model, readyInMs]) =>
    create(ModelForecastSchema, { model, readyInMs }),
  );
  const fields = { service, epoch, version, backends, forecasts, configurationVersion };
  return { case: 'servicePlacement', value: create(ServicePlacementSchema, fields) };
}

function encodeModel(model: PlacedModel): ReturnType<typeof create<typeof HeldModelSchema>> {
  const { name, adapters, readyInMs, unloading } = model;
  return create(HeldModelSchema, { model: name, adapters: [...adapters], readyInMs, unloading });
}

/** An owner's word out of a message. */
export function decodePlacement(message: ServicePlacement): PlacementView {
  const backends = new Map<string, PlacedModel[]>();
  for (const { backend, models } of message.backends) {
    const placed = models.map(({ model, adapters, readyInMs, unloading }) => {
      return { name: model, adapters, readyInMs, unloading };
    });
    backends.set(backend, placed);
  }
  const { service, epoch, version } = message;
  const forecasts = new Map(message.forecasts.map((entry) => [entry.model, entry.readyInMs]));
  return { service, epoch, version, backends, forecasts };
}
