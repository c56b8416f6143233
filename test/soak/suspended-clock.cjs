/**
 * Loaded before a gateway's program (`gateway-entry.cjs`). Its monotonic clock excludes the time for which the process
 * was stopped, as on a suspended machine. The wall clock continues.
 */

const { performance } = require('node:perf_hooks');
const { setInterval } = require('node:timers');

/** A running process reads its clock more often than this. Shorter gaps are scheduling delays, not suspensions. */
const MIN_SUSPENSION_MS = 450;
const CLOCK_POLL_INTERVAL_MS = 50;

const originalNow = performance.now.bind(performance);
let lastReadAt = originalNow();
let suspendedMs = 0;

performance.now = () => {
  const now = originalNow();
  if (now - lastReadAt > MIN_SUSPENSION_MS) suspendedMs += now - lastReadAt;
  lastReadAt = now;
  return now - suspendedMs;
};
setInterval(() => performance.now(), CLOCK_POLL_INTERVAL_MS).unref();
