/** Converts learned capacity to and from the message fields of the internal protocol. */
import { create } from '@bufbuild/protobuf';
import type { GapReport } from '../core/capacity/gap-samples.js';
import type { CapacityFigures } from '../core/capacity/learned-capacity.js';
import {
  BackendSpeedSchema,
  ModelGapSchema,
  StreamGapsSchema,
  type BackendSpeed,
  type ModelGap,
  type ServiceDemand,
  type ServicePlacement,
  type StreamGaps,
} from '../proto/gen/internal_pb.js';

/** Shares are encoded in thousandths. */
const THOUSANDTHS_PER_UNIT = 1_000;
/** Maximum number of entries decoded from a report. Daemons of this build send fewer. */
const MAX_ENTRIES = 256;

/** Encodes gaps as fields of a demand message. */
export function encodeGaps(report: GapReport | undefined): {
  gaps: StreamGaps[];
  pauseClasses: number[];
} {
  const samples = report?.samples ?? [];
  const gaps = samples.map((sample) => {
    const pauseGoalMs = Math.round(Math.min(sample.pauseGoalMs, MAX_GOAL_MS));
    return create(StreamGapsSchema, { ...sample, pauseGoalMs });
  });
  return { gaps, pauseClasses: [...(report?.pauseClasses ?? [])] };
}

/** The largest value of the field, an unsigned 32-bit integer, encodes that there is no goal. */
const MAX_GOAL_MS = 2 ** 32 - 1;

/** Decodes the gaps of a demand message; undefined if it contains none. */
export function decodeGaps(message: ServiceDemand): GapReport | undefined {
  const { gaps, pauseClasses } = message;
  if (gaps.length === 0 && pauseClasses.length === 0) return undefined;
  const samples = gaps.slice(0, MAX_ENTRIES).map((entry) => {
    const { backend, model, gaps: count, logSum, pauseGoalMs } = entry;
    return { backend, model, gaps: count, logSum, pauseGoalMs };
  });
  return { samples, pauseClasses };
}

/** Encodes learned capacity as fields of a placement message. */
export function encodeFigures(figures: CapacityFigures | undefined): {
  speeds: BackendSpeed[];
  modelGaps: ModelGap[];
  pauseShares: number[];
} {
  if (figures === undefined) return { speeds: [], modelGaps: [], pauseShares: [] };
  const speeds = [...figures.speeds].map(([backend, speed]) =>
    create(BackendSpeedSchema, { backend, speed }),
  );
  const modelGaps = [...figures.gaps].map(([model, gapMs]) =>
    create(ModelGapSchema, { model, gapMs }),
  );
  const pauseShares = figures.pauseShares.map((share) => Math.round(share * THOUSANDTHS_PER_UNIT));
  return { speeds, modelGaps, pauseShares };
}

/** Decodes the learned capacity of a placement message; undefined if it contains none. */
export function decodeFigures(message: ServicePlacement): CapacityFigures | undefined {
  const { speeds, modelGaps, pauseShares } = message;
  if (speeds.length === 0 && modelGaps.length === 0 && pauseShares.length === 0) return undefined;
  return {
    speeds: new Map(speeds.map(({ backend, speed }) => [backend, speed])),
    gaps: new Map(modelGaps.map(({ model, gapMs }) => [model, gapMs])),
    pauseShares: pauseShares.map((share) => share / THOUSANDTHS_PER_UNIT),
  };
}
