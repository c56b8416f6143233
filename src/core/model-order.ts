/** Orders that an owner sends to a backend, and the state that the backend reports. Types only. */
import type { HeldModel, ModelReference } from './service-configuration.js';

/** Order to load or unload a model, or one adapter of a loaded model. */
export interface ModelOrder extends ModelReference {
  readonly operation: 'load' | 'unload';
}

/** Fencing data that protects an order against late delivery and against orders of other owners. */
export interface OrderFence {
  /** Identifies the daemon that gives the order. */
  readonly holder: string;
  /** The owner's epoch; the backend rejects an order with a lower epoch than it has seen. */
  readonly epoch: number;
  /**
   * Number of orders that the backend must have accepted so far; it rejects the order if the number
   * differs.
   */
  readonly expectedSequence: number;
  /**
   * Checked immediately before sending: while the order waits for its connection or the process is
   * paused, another daemon may become the owner.
   */
  readonly maySend: () => boolean;
}

/** Result of sending an order. */
export type OrderOutcome =
  /** The backend has started to carry out the order. */
  | { readonly type: 'accepted' }
  /** The backend is already in the ordered state. */
  | { readonly type: 'holds' }
  /** Another order is in progress, or the sequence is not the expected one. */
  | { readonly type: 'conflict' }
  /** The backend has seen a higher epoch. */
  | { readonly type: 'fenced' }
  /** Another process now uses the address, or the backend cannot interpret the order. */
  | { readonly type: 'rejected' }
  /** The backend may have accepted the order already, or may still accept it. */
  | { readonly type: 'unknown'; readonly reason: string };

/** State of a backend at one moment, as the backend reports it. */
export interface BackendReport {
  /** Whether an order for a model is in progress. */
  readonly busy: boolean;
  /** Number of orders accepted. */
  readonly sequence: number;
  readonly models: readonly HeldModel[];
  /** Adapters that are being loaded. */
  readonly coming: readonly ModelReference[];
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
  readonly waiting: number;
  readonly running: number;
}
