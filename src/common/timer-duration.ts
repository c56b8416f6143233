/** Durations for Node's timers and socket timeouts. */

/** Longest duration of a timer, in milliseconds, about 25 days: Node ends a longer one at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;
