/**
 * Model engines as the daemons use them. `http-engine-client.ts` speaks the
 * published protocol; the owner of a pool sends fenced orders and reads
 * reports, routers send requests and read streams.
 */
import type { Result } from 'true-myth';
import type { TransportFailure } from '../common/http-client.js';

/** Fields that fence every order. An engine refuses what is older than it has seen. */
export interface OrderFence {
  readonly pool: string;
  readonly epoch: number;
  /** The start of the engine process that the order is meant for. */
  readonly incarnation: string;
  /** Rises with every new order of an epoch; repeating one is harmless. */
  readonly sequence: number;
}

/** An adapter on top of a base model. */
export interface AdapterSpec {
  readonly name: string;
  readonly bytes: number;
}

/** What a replica of a tenant consists of. */
export interface ReplicaSpec {
  readonly tenant: string;
  readonly model: string;
  readonly version: string;
  /** Accelerator memory of the base model, counted once an engine. */
  readonly modelBytes: number;
  readonly adapters: readonly AdapterSpec[];
  /** Requests that the replica runs at once. */
  readonly slots: number;
}

/** An order of a pool's owner. */
export type EngineOrder =
  | { readonly type: 'seal' }
  | { readonly type: 'load'; readonly replica: ReplicaSpec; readonly priority: number }
  | { readonly type: 'unload'; readonly tenant: string };

/** State of a replica on an engine. */
export type ReplicaState = 'loading' | 'loaded' | 'unloading' | 'failed';

/** Where the bytes of a load came from. */
export type CheckpointTier = 'resident' | 'memory' | 'disk' | 'remote';

/** One replica that an engine holds. */
export interface Holding {
  readonly replica: ReplicaSpec;
  readonly state: ReplicaState;
  readonly inFlight: number;
  /** Milliseconds since the last request ended; 0 while one runs. */
  readonly idleMs: number;
}

/** What an engine says of itself. */
export interface EngineReport {
  readonly incarnation: string;
  /** Highest sealed epoch; 0 before the first seal. */
  readonly epoch: number;
  /** Sequence of the last order taken in that epoch. */
  readonly sequence: number;
  /** Rises with every report of an incarnation, so that a late one is told from a newer one. */
  readonly number: number;
  readonly leaving: boolean;
  readonly capacityBytes: number;
  readonly holdings: readonly Holding[];
  /** Checkpoints in this machine's caches. */
  readonly cached: readonly { readonly model: string; readonly tier: 'memory' | 'disk' }[];
}

/** Why an engine refused an order. */
export type OrderRefusal =
  'stale_epoch' | 'wrong_incarnation' | 'stale_sequence' | 'leaving' | 'not_sealed';

/** The engine's answer to an order that reached it. */
export type OrderAnswer =
  | { readonly accepted: true; readonly report: EngineReport }
  | { readonly accepted: false; readonly refusal: OrderRefusal; readonly incarnation: string };

/** A request as an engine takes it. */
export interface EngineRequest {
  readonly id: string;
  readonly tenant: string;
  readonly incarnation: string;
  readonly priority: number;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Why an engine refused a request, before any of it ran. */
export type RequestRefusal = 'not_loaded' | 'busy' | 'leaving' | 'wrong_incarnation' | 'cancelled';

/** Load figures that ride on the engine's answers. */
export interface ReplicaLoad {
  readonly inFlight: number;
  readonly slots: number;
}

/** Receives what an engine says about one request. */
export interface RequestHandler {
  onAccepted(load: ReplicaLoad): void;
  /** Refused before running; final. */
  onRefused(refusal: RequestRefusal): void;
  onToken(offset: number, text: string): void;
  /** The answer is whole; final. */
  onDone(tokens: number, finishReason: 'stop' | 'length'): void;
  /** The connection failed; final for this connection. */
  onBroken(failure: TransportFailure): void;
}

/** What an engine says of a request that it was told to cancel. */
export interface CancelAnswer {
  readonly ran: 'no' | 'yes';
  /** The engine process that says so; another one knows nothing of the request. */
  readonly incarnation: string;
}

/** A running connection for one request. */
export interface RequestStream {
  /** Stops listening; the engine is not told. */
  close(): void;
}

/** Receives reports. */
export interface ReportHandler {
  onReport(report: EngineReport): void;
  onBroken(): void;
}

/** The engines' services. All calls give up after a bounded time. */
export interface EngineClient {
  status(engine: string): Promise<Result<EngineReport, TransportFailure>>;
  order(
    engine: string,
    fence: OrderFence,
    order: EngineOrder,
  ): Promise<Result<OrderAnswer, TransportFailure>>;
  /** Follows an engine's reports: the whole state at once, then at each change. */
  watchReports(engine: string, handler: ReportHandler): RequestStream;
  run(engine: string, request: EngineRequest, handler: RequestHandler): RequestStream;
  /** Takes up the stream of a request that the engine already has, from a token offset. */
  resume(engine: string, id: string, offset: number, handler: RequestHandler): RequestStream;
  /**
   * Cancels a request. The engine refuses the id from then on, also if the
   * request itself arrives later; the answer says whether it ran before.
   */
  cancel(engine: string, id: string): Promise<Result<CancelAnswer, TransportFailure>>;
  close(): void;
}
