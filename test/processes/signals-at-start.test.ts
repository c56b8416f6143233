/*
 * A process of the gateway ended when its settings changed just after its start (soak seed 32: two exits by
 * SIGHUP at an age of 36 and 343 ms; seed 9709: 461, 473 and 262 ms while twelve processes started at once): it
 * had no handler yet, and the default of SIGHUP ends a process. A handler was the program's first statement, but
 * Node read and compiled all 1.3 MB of the program before it ran the first one. One start after the
 * other, a signal was caught after 99 ms (median of 12), with a program of one line after 70 ms; twelve at once after
 * 228 and 125 ms (36 starts).
 */
import { execFileSync, spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { beforeAll, describe, expect, it } from 'vitest';

const DEPLOYMENT = 'deploy/system.toml';
/** What Node compiles within a millisecond. */
const FEW_BYTES = 4_096;

/** The value of a line of the file that tells how the gateway is built and run. */
function deployed(key: string): string {
  const line = readFileSync(DEPLOYMENT, 'utf8')
    .split('\n')
    .find((each) => each.startsWith(`${key} = `));
  const [, value] = /= "(.*)"$/.exec(line ?? '') ?? [];
  if (value === undefined) throw new Error(`${DEPLOYMENT} has no ${key}`);
  return value;
}

describe('a signal just after the start', () => {
  const handledAfter = new Map<string, number>();

  beforeAll(() => {
    // The packages are there; what follows builds the program.
    const build = deployed('build').split(';').at(-1) ?? '';
    execFileSync('sh', ['-c', build]);
    const [program = '', ...args] = deployed('run').split(' ');
    const probe = ['--import', './test/processes/first-handler-probe.mjs'];
    const env = { ...process.env, SCALESLIP_SETTINGS: '/dev/null' };
    const { stderr } = spawnSync(program, [...probe, ...args], { env, encoding: 'utf8' });
    for (const [, signal = '', bytes] of stderr.matchAll(/handles=(\S+) bytes=(\d+)/g)) {
      handledAfter.set(signal, Number(bytes));
    }
  });

  it.each(['SIGHUP', 'SIGTERM'])('finds a handler before the program is read (%s)', (signal) => {
    expect(handledAfter.get(signal)).toBeLessThan(FEW_BYTES);
  });
});
