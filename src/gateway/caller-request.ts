/** A caller's request as it was received. */
import type { RequestHead } from './ports.js';

/** A received request. */
export interface CallerRequest {
  readonly head: RequestHead;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Steady time at which its head was read. */
  readonly arrivedAt: number;
}
