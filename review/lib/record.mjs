/** The record of a case: one line for each thing that a client, a replica or the platform has seen. */
import { appendFileSync, writeFileSync } from 'node:fs';

export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = Date.now();
    writeFileSync(file, '');
  }

  add(who, what, fields = {}) {
    const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    const pairs = Object.entries(fields).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
    appendFileSync(this.file, `${seconds} ${who} ${what} ${pairs.join(' ')}`.trimEnd() + '\n');
  }
}
