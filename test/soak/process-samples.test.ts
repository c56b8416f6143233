import { spawn, type ChildProcess } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import { sleep } from '../../src/common/process.js';
import { ProcessSamples } from './process-samples.js';

describe('the samples of the processes of a soak', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'soak-samples-'));
  let child: ChildProcess | undefined;
  const samples = new ProcessSamples(folder, () => [
    { name: 'child', pid: child?.pid },
    { name: 'down', pid: undefined },
  ]);

  afterEach(() => {
    samples.stop();
    child?.kill('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
  });

  function lines(): string[] {
    const file = path.join(folder, 'processes.log');
    return existsSync(file) ? readFileSync(file, 'utf8').trimEnd().split('\n') : [];
  }

  async function waitForLine(pattern: RegExp): Promise<void> {
    while (!lines().some((line) => pattern.test(line))) await sleep(20);
  }

  it('tell a process that runs from one that was stopped, and from one that is down', async () => {
    child = spawn(process.execPath, ['-e', 'for (;;);'], { stdio: 'ignore' });
    samples.start();
    await waitForLine(/ child=[RS],[1-9]\d*,\d+ down=gone$/);
    child.kill('SIGSTOP');
    await waitForLine(/ child=T,0,0 down=gone$/);
    const head = /^\S+Z periodMs=\d+ stealTicks=\d+ child=/;
    expect(lines().filter((line) => !head.test(line))).toEqual([]);
  });
});
