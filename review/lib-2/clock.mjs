/** Time since the start of the script, and a record of what was sent, answered and run. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

const startedAt = performance.now();

/** Milliseconds since the start of the script. */
export function now() {
  return performance.now() - startedAt;
}

/** Resolves after some milliseconds. */
export function sleep(milliseconds) {
  return delay(Math.max(0, milliseconds));
}

/** The lines of `record.txt`. */
export class Record {
  lines = [];

  add(event, fields = {}) {
    const words = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
    this.lines.push([(now() / 1000).toFixed(3).padStart(8), event, ...words].join(' '));
  }

  save(file) {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}
