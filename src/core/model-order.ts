/** Orders that an owner gives to a backend, and what the backend tells about itself. Types only. */
import type { HeldModel, ModelReference } from './service-configuration.js';

/** Load or unload a model, or one adapter of a loaded model. */
export interface ModelOrder extends ModelReference {
  readonly operation: 'load' | 'unload';
}

/** What makes an order safe against late delivery and other owners. */
export interface OrderFence {
  /** Names the daemon that gives the order. */
  readonly holder: string;
  /** The owner's epoch; the backend refuses lower ones. */
  readonly epoch: number;
  /** Orders that the backend must have taken so far; else it refuses. */
  readonly expectedSequence: number;
  /** Asked at the very send: an order may wait for its connection, or its process stand still, until another owns. */
  readonly maySend: () => boolean;
}

/** The end of an order call. */
export type OrderOutcome =
  /** The backend has begun. */
  | { readonly type: 'accepted' }
  /** What was ordered already holds. */
  | { readonly type: 'holds' }
  /** Another order is in progress, or the sequence is not the expected one. */
  | { readonly type: 'conflict' }
  /** A higher epoch has been seen. */
  | { readonly type: 'fenced' }
  /** Another process has the address now, or the order is not understood. */
  | { readonly type: 'rejected' }
  /** It may have been taken, and may still be. */
  | { readonly type: 'unknown'; readonly reason: string };

/** A backend's state at one moment, as it tells it. */
export interface BackendReport {
  /** An order for a model is in progress. */
  readonly busy: boolean;
  /** Orders taken. */
  readonly sequence: number;
  readonly models: readonly HeldModel[];
  /** Adapters on their way. */
  readonly coming: readonly ModelReference[];
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
  readonly waiting: number;
  readonly running: number;
}
