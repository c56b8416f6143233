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

/** Returns the host that a request's headers name, in lower case; empty if none. */
export function hostOf(rawHeaders: readonly string[]): string {
  const nameIndex = rawHeaders.findIndex((text, index) => {
    return index % 2 === 0 && text.toLowerCase() === 'host';
  });
  return nameIndex < 0 ? '' : (rawHeaders[nameIndex + 1] ?? '').toLowerCase();
}
