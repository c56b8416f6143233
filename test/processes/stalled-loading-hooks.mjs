/** Module hooks of `stalled-loading-probe.mjs`. They run in a thread of their own, so the program's thread stays free. */
import { existsSync, writeSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';

/** The module that is held back; by default the parser of the command line. */
const HELD_BACK = process.env.LOADING_STALLS_AT ?? 'commander';
const POLL_INTERVAL_MS = 10;
const STANDARD_ERROR = 2;
let isAnnounced = false;

/** Resolves a module's name; waits if it is the one that is held back. */
export async function resolve(specifier, context, nextResolve) {
  if (specifier === HELD_BACK && !isAnnounced) {
    isAnnounced = true;
    writeSync(STANDARD_ERROR, 'loading stalled\n');
    while (!existsSync(process.env.LOADING_MAY_CONTINUE)) await sleep(POLL_INTERVAL_MS);
  }
  return nextResolve(specifier, context);
}
