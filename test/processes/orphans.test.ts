/*
 * Guards against programs of the test bed that leave processes and temporary folders behind: the default action of a
 * signal ends a program without its exit handlers.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { constants, tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitFor } from '../../src/testbed/local-cluster.js';

const START_MS = 30_000;
const END_MS = 5_000;
/** Platform, weight store, an engine and a daemon: no program starts fewer processes. */
const FEWEST_PROCESSES = 4;

/** Ids of the running processes that have this folder for their temporary files. */
function processesUsing(folder: string): number[] {
  const ids = readdirSync('/proc').filter((name) => /^\d+$/.test(name));
  return ids.filter((id) => environmentOf(id).includes(`TMPDIR=${folder}\0`)).map(Number);
}

function environmentOf(id: string): string {
  try {
    return readFileSync(`/proc/${id}/environ`, 'utf8');
  } catch {
    return '';
  }
}

/** Kills a process that may have ended since it was listed. */
function killIfRunning(id: number): void {
  try {
    process.kill(id, 'SIGKILL');
  } catch (fault) {
    if ((fault as NodeJS.ErrnoException).code !== 'ESRCH') throw fault;
  }
}

describe('a program that starts processes and is ended by a signal', () => {
  let parent: ChildProcess | undefined;
  let folder = '';

  beforeEach(() => {
    folder = path.join(mkdtempSync(path.join(tmpdir(), 'scaleslip-orphans-')), 'files');
    mkdirSync(folder);
  });

  afterEach(() => {
    for (const id of processesUsing(folder)) killIfRunning(id);
    rmSync(path.dirname(folder), { recursive: true, force: true });
  });

  it.each([
    ['demo', 'SIGTERM'],
    ['demo', 'SIGINT'],
    ['demo', 'SIGHUP'],
    ['bench', 'SIGTERM'],
    ['chaos', 'SIGTERM'],
  ] as const)('leaves no process and no file (%s, %s)', async (program, signal) => {
    const env = { ...process.env, TMPDIR: folder };
    parent = spawn(process.execPath, [`dist/${program}/main.js`], { env, stdio: 'ignore' });
    const { pid } = parent;
    const children = (): number[] => processesUsing(folder).filter((id) => id !== pid);
    await waitFor('the processes', START_MS, () =>
      Promise.resolve(children().length >= FEWEST_PROCESSES),
    );
    parent.kill(signal);
    expect(await once(parent, 'exit')).toEqual([128 + constants.signals[signal], null]);
    await waitFor('the end of the processes', END_MS, () =>
      Promise.resolve(children().length === 0),
    );
    expect(readdirSync(folder)).toEqual([]);
  });
});
