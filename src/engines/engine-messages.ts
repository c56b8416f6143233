/** Parses what engines send. A message of another shape is rejected here, so that it ends its own call or stream only. */
import { z } from 'zod';
import type { CancelReply, EngineReport, OrderReply, ReplicaLoad } from './engine-client.js';

/** One line of a request's stream. */
export type StreamLine =
  | { readonly type: 'accepted'; readonly load: ReplicaLoad }
  | { readonly type: 'token'; readonly offset: number; readonly text: string }
  | { readonly type: 'done'; readonly tokens: number; readonly finish: 'stop' | 'length' }
  /** A line without a meaning for callers, also of a type that a later engine has added. */
  | { readonly type: 'alive' };

/** One line of a report stream: a report, or a sign of life without one. */
export type ReportLine = EngineReport | { readonly alive: true };

const replicaSchema = z.looseObject({
  tenant: z.string(),
  model: z.string(),
  version: z.string(),
  modelBytes: z.number(),
  adapters: z.array(z.looseObject({ name: z.string(), bytes: z.number() })),
  slots: z.number(),
});

const reportSchema = z.looseObject({
  incarnation: z.string(),
  epoch: z.number(),
  sequence: z.number(),
  number: z.number(),
  leaving: z.boolean(),
  capacityBytes: z.number(),
  holdings: z.array(
    z.looseObject({
      replica: replicaSchema,
      state: z.enum(['loading', 'loaded', 'unloading', 'failed']),
      inFlight: z.number(),
      idleMs: z.number(),
    }),
  ),
  cached: z.array(z.looseObject({ model: z.string(), tier: z.enum(['memory', 'disk']) })),
});

const orderReplySchema = z.union([
  z.looseObject({ accepted: z.literal(true), report: reportSchema }),
  z.looseObject({
    accepted: z.literal(false),
    refusal: z.enum([
      'stale_epoch',
      'wrong_incarnation',
      'stale_sequence',
      'leaving',
      'not_sealed',
    ]),
    incarnation: z.string(),
  }),
]);

const cancelReplySchema = z.looseObject({ ran: z.enum(['no', 'yes']), incarnation: z.string() });
const aliveSchema = z.looseObject({ alive: z.literal(true) });

/** Parses a report; undefined if the value is none. */
export function parseReport(value: unknown): EngineReport | undefined {
  return reportSchema.safeParse(value).data;
}

/** Parses a line of a report stream; undefined if the value is none. */
export function parseReportLine(value: unknown): ReportLine | undefined {
  return aliveSchema.safeParse(value).data ?? parseReport(value);
}

/** Parses the reply to an order; undefined if the value is none. */
export function parseOrderReply(value: unknown): OrderReply | undefined {
  return orderReplySchema.safeParse(value).data;
}

/** Parses the reply to a cancellation; undefined if the value is none. */
export function parseCancelReply(value: unknown): CancelReply | undefined {
  return cancelReplySchema.safeParse(value).data;
}

/** Parses a line of a request's stream; undefined if the value is none. Without a schema, because each token is a line. */
export function parseStreamLine(value: unknown): StreamLine | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { type, load, offset, text, tokens, finish } = value as Partial<Record<string, unknown>>;
  switch (type) {
    case 'accepted':
      return isLoad(load) ? { type, load } : undefined;
    case 'token':
      return isCount(offset) && typeof text === 'string' ? { type, offset, text } : undefined;
    case 'done':
      return isCount(tokens) && (finish === 'stop' || finish === 'length')
        ? { type, tokens, finish }
        : undefined;
    default:
      return { type: 'alive' };
  }
}

function isLoad(value: unknown): value is ReplicaLoad {
  const { inFlight, slots } = (value ?? {}) as Partial<ReplicaLoad>;
  return typeof inFlight === 'number' && typeof slots === 'number';
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isInteger(value) && value >= 0;
}
