/**
 * Loaded before a gateway's program (`gateway-entry.cjs`): its steady clock does not count a time in which the process stood
 * still, as on a machine that was suspended. The time of day goes on.
 */

const { performance } = require('node:perf_hooks');
const { setInterval } = require('node:timers');

/** A process that runs looks at its clock more often; a shorter standstill is the scheduler's. */
const STANDSTILL_MS = 450;
const LOOK_PERIOD_MS = 50;

const steady = performance.now.bind(performance);
let seenAt = steady();
let stoodStillMs = 0;

performance.now = () => {
  const now = steady();
  if (now - seenAt > STANDSTILL_MS) stoodStillMs += now - seenAt;
  seenAt = now;
  return now - stoodStillMs;
};
setInterval(() => performance.now(), LOOK_PERIOD_MS).unref();
