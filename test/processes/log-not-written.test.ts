/*
 * Guards against a daemon or gateway that ends, with its requests in flight, because a line of its log cannot be written:
 * without a handler, the error of standard output is an uncaught exception.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync } from 'node:fs';
import { describe, expect, it } from 'vitest';

const EXIT_CODE = 7;
/** Writes lines for 0.5 s, then ends with a code of its own. */
const PROGRAM = `
  import { createLogger } from './dist/common/logger.js';
  const logger = createLogger({ daemon: 'd' });
  setInterval(() => logger.info('line_' + Math.random()), 10);
  setTimeout(() => process.exit(${EXIT_CODE}), 500);
`;

const ARGUMENTS = ['--input-type=module', '--eval', PROGRAM];

describe('a process whose log cannot be written', () => {
  it('runs on after the program that reads the log has ended', async () => {
    const child = spawn(process.execPath, ARGUMENTS, { stdio: ['ignore', 'pipe', 'inherit'] });
    await once(child.stdout, 'data');
    child.stdout.destroy();
    expect(await once(child, 'close')).toEqual([EXIT_CODE, null]);
  });

  it('runs on while the disk is full', async () => {
    const fullDisk = openSync('/dev/full', 'w');
    const child = spawn(process.execPath, ARGUMENTS, { stdio: ['ignore', fullDisk, 'inherit'] });
    closeSync(fullDisk);
    expect(await once(child, 'close')).toEqual([EXIT_CODE, null]);
  });
});
