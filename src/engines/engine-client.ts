/**
 * Interface of the model engines. `http-engine-client.ts` implements it over the
 * published protocol. The owner of a pool sends fenced orders and reads
 * reports; routers send requests and read response streams.
 */
import type { Result } from 'true-myth';
import type { TransportFailure } from '../common/http-client.js';

/** Fencing fields of every order. An engine refuses orders older than the newest that it has accepted. */
export interface OrderFence {
  readonly pool: string;
  readonly epoch: number;
  /** Identifies the start of the engine process that the order is addressed to. */
  readonly incarnation: string;
  /** Increases with every new order of an epoch; repeating an order has no further effect. */
  readonly sequence: number;
}

/** An adapter on top of a base model. */
export interface AdapterSpec {
  readonly name: string;
  readonly bytes: number;
}

/** Components and size of a tenant's replica. */
export interface ReplicaSpec {
  readonly tenant: string;
  readonly model: string;
  readonly version: string;
  /** Accelerator memory of the base model, counted once per engine. */
  readonly modelBytes: number;
  readonly adapters: readonly AdapterSpec[];
  /** Maximum number of concurrent requests of the replica. */
  readonly slots: number;
}

/** An order that a pool's owner sends to an engine. */
export type EngineOrder =
  | { readonly type: 'seal' }
  | { readonly type: 'load'; readonly replica: ReplicaSpec; readonly priority: number }
  | { readonly type: 'unload'; readonly tenant: string };

/** State of a replica on an engine. */
export type ReplicaState = 'loading' | 'loaded' | 'unloading' | 'failed';

/** Storage tier from which a checkpoint was loaded. */
export type CheckpointTier = 'resident' | 'memory' | 'disk' | 'remote';

/** One replica that an engine holds. */
export interface Holding {
  readonly replica: ReplicaSpec;
  readonly state: ReplicaState;
  readonly inFlight: number;
  /** Milliseconds since the last request ended; 0 while one runs. */
  readonly idleMs: number;
}

/** State that an engine reports. */
export interface EngineReport {
  readonly incarnation: string;
  /** Highest sealed epoch; 0 before the first seal. */
  readonly epoch: number;
  /** Sequence of the last order accepted in that epoch. */
  readonly sequence: number;
  /** Increases with every report of an incarnation, so that delayed reports can be detected. */
  readonly number: number;
  readonly leaving: boolean;
  readonly capacityBytes: number;
  readonly holdings: readonly Holding[];
  /** Checkpoints in the caches of the engine's machine. */
  readonly cached: readonly { readonly model: string; readonly tier: 'memory' | 'disk' }[];
}

/** Why an engine refused an order. */
export type OrderRefusal =
  'stale_epoch' | 'wrong_incarnation' | 'stale_sequence' | 'leaving' | 'not_sealed';

/** Reply of the engine to an order. */
export type OrderReply =
  | { readonly accepted: true; readonly report: EngineReport }
  | { readonly accepted: false; readonly refusal: OrderRefusal; readonly incarnation: string };

/** A request as sent to an engine. */
export interface EngineRequest {
  readonly id: string;
  readonly tenant: string;
  readonly incarnation: string;
  readonly priority: number;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Why an engine refused a request before running it. */
export type RequestRefusal = 'not_loaded' | 'busy' | 'leaving' | 'wrong_incarnation' | 'cancelled';

/** Load of a replica, included in the engine's replies. */
export interface ReplicaLoad {
  readonly inFlight: number;
  readonly slots: number;
}

/** Receives the events of one request. */
export interface RequestHandler {
  onAccepted(load: ReplicaLoad): void;
  /** The engine refused the request before running it. Last event. */
  onRefused(refusal: RequestRefusal): void;
  onToken(offset: number, text: string): void;
  /** The response is complete. Last event. */
  onDone(tokens: number, finishReason: 'stop' | 'length'): void;
  /** The connection failed. Last event of this connection. */
  onBroken(failure: TransportFailure): void;
}

/** Reply of the engine to a cancellation. */
export interface CancelReply {
  readonly ran: 'no' | 'yes';
  /** The engine process that replied; `ran` does not cover runs on other incarnations. */
  readonly incarnation: string;
}

/** A running connection for one request. */
export interface RequestStream {
  /** Stops reading; the request is not cancelled at the engine. */
  close(): void;
}

/** Receives the reports of an engine. */
export interface ReportHandler {
  onReport(report: EngineReport): void;
  onBroken(): void;
}

/** Client of the engines. All calls have a timeout. */
export interface EngineClient {
  status(engine: string): Promise<Result<EngineReport, TransportFailure>>;
  order(
    engine: string,
    fence: OrderFence,
    order: EngineOrder,
  ): Promise<Result<OrderReply, TransportFailure>>;
  /** Subscribes to an engine's reports: the full state immediately and after each change. */
  watchReports(engine: string, handler: ReportHandler): RequestStream;
  run(engine: string, request: EngineRequest, handler: RequestHandler): RequestStream;
  /** Resumes the stream of a request known to the engine, from a token offset. */
  resume(engine: string, id: string, offset: number, handler: RequestHandler): RequestStream;
  /**
   * Cancels a request. From then on the engine refuses this id, even if the
   * request arrives later. The reply tells whether the request ran before.
   */
  cancel(engine: string, id: string): Promise<Result<CancelReply, TransportFailure>>;
  close(): void;
}
