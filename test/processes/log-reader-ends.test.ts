/*
 * Guards against a daemon or gateway that ends, with its requests in flight, because the program that reads its log has
 * ended: the write error of standard output had no handler, so it was an uncaught exception.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe, expect, it } from 'vitest';

const EXIT_CODE = 7;
/** Writes lines for 0.5 s, then ends with a code of its own. */
const PROGRAM = `
  import { createLogger } from './dist/common/logger.js';
  const logger = createLogger({ daemon: 'd' });
  setInterval(() => logger.info('line_' + Math.random()), 10);
  setTimeout(() => process.exit(${EXIT_CODE}), 500);
`;

describe('a process whose log has no reader any more', () => {
  it('runs on', async () => {
    const args = ['--input-type=module', '--eval', PROGRAM];
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    let errors = '';
    child.stderr.on('data', (bytes: Buffer) => (errors += bytes.toString()));
    await once(child.stdout, 'data');
    child.stdout.destroy();
    expect(await once(child, 'close')).toEqual([EXIT_CODE, null]);
    expect(errors).toBe('');
  });
});
