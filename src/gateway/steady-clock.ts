/**
 * The steady clock: a monotonic clock that never jumps, unlike the time of day. It may stop while the machine is suspended, so use
 * it for delays and for measured durations; for permissions that expire use `common/lease-clock.ts`.
 */

import { leaseNow } from '../common/lease-clock.js';
import type { ClockReading } from '../core/service-versions.js';

/** Milliseconds since the process started. */
export function steadyNow(): number {
  return performance.now();
}

/** The current time by the steady clock and by the lease clock. */
export function clocksNow(): ClockReading {
  return { steady: steadyNow(), lease: leaseNow() };
}
