/** A request as its caller sent it. */
import type { RequestHead } from './ports.js';

/** What the caller sent. */
export interface CallerRequest {
  readonly head: RequestHead;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Steady time at which its head was read. */
  readonly arrivedAt: number;
}
