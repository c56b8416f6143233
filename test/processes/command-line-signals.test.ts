/*
 * Guards against a daemon that SIGHUP ends while its program is being loaded: all modules of a program are loaded before
 * its first statement can handle a signal. The tests hold back the loading at a fixed place. All other commands keep the
 * default actions, so that Ctrl-C or a closed terminal ends them.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { findFreePorts } from '../../src/testbed/free-ports.js';

const PROGRAM = 'bin/scaleslip.js';
/** Both programs that start the command line. */
const PROGRAMS = [PROGRAM, 'dist/cli/main.js'];
/** The first ES module of the command line, as the program imports it. */
const FIRST_MODULE = '../dist/cli/main.js';
const PROBE = './test/processes/stalled-loading-probe.mjs';
const SIGNALS = ['SIGHUP', 'SIGTERM', 'SIGINT'] as const;

describe('a signal to the command line', () => {
  let folder = '';
  let child: ChildProcess | undefined;

  beforeEach(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'scaleslip-signals-'));
  });

  afterEach(async () => {
    if (child?.exitCode === null && child.signalCode === null) {
      child.kill('SIGKILL');
      await once(child, 'exit');
    }
    rmSync(folder, { recursive: true, force: true });
  });

  function start(
    args: readonly string[],
    variables: Readonly<Record<string, string>> = {},
  ): ChildProcess {
    const mayContinue = path.join(folder, 'continue');
    const env = { ...process.env, LOADING_MAY_CONTINUE: mayContinue, ...variables };
    child = spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
    return child;
  }

  /** Starts a command and waits until the loading of its program is held back. */
  async function startStalled(
    args: readonly string[],
    variables: Readonly<Record<string, string>> = {},
  ): Promise<ChildProcess> {
    const started = start(['--import', PROBE, ...args], variables);
    await output(started, 'stderr', 'loading stalled');
    return started;
  }

  async function daemonArguments(): Promise<string[]> {
    const [callerPort, peerPort] = await findFreePorts(2);
    const place = {
      name: 'd',
      address: '127.0.0.1',
      zone: 'a',
      site: 'old',
      platform: '127.0.0.1:1',
    };
    const file = path.join(folder, 'settings.yaml');
    writeFileSync(file, JSON.stringify({ ...place, callerPort, peerPort }));
    return ['daemon', '--settings', file];
  }

  it.each(PROGRAMS)('SIGHUP does not end a daemon that is being loaded (%s)', async (program) => {
    const daemon = await startStalled([program, ...(await daemonArguments())]);
    daemon.kill('SIGHUP');
    writeFileSync(path.join(folder, 'continue'), '');
    await output(daemon, 'stdout', 'event=daemon_started');
  });

  it('SIGHUP does not end a daemon whose first ES module is being looked for', async () => {
    // An ES module as entry is linked with all that it imports before its first line runs.
    const args = [PROGRAM, ...(await daemonArguments())];
    const daemon = await startStalled(args, { LOADING_STALLS_AT: FIRST_MODULE });
    daemon.kill('SIGHUP');
    writeFileSync(path.join(folder, 'continue'), '');
    await output(daemon, 'stdout', 'event=daemon_started');
  });

  it.each(['SIGTERM', 'SIGINT'] as const)(
    '%s ends a daemon that is being loaded',
    async (signal) => {
      const daemon = await startStalled([PROGRAM, ...(await daemonArguments())]);
      daemon.kill(signal);
      expect(await once(daemon, 'exit')).toEqual([null, signal]);
    },
  );

  it.each(SIGNALS)('%s ends another command that is being loaded', async (signal) => {
    const command = await startStalled([PROGRAM, 'status']);
    command.kill(signal);
    expect(await once(command, 'exit')).toEqual([null, signal]);
  });

  it.each(SIGNALS)('%s ends another command that waits for an answer', async (signal) => {
    const silent = net.createServer(() => {});
    await once(silent.listen(0, '127.0.0.1'), 'listening');
    const { port } = silent.address() as net.AddressInfo;
    const connected = once(silent, 'connection') as Promise<[net.Socket]>;
    const args = ['status', '--server', `127.0.0.1:${port}`, '--key', 'k'];
    const command = start([PROGRAM, ...args]);
    const [socket] = await connected;
    command.kill(signal);
    expect(await once(command, 'exit')).toEqual([null, signal]);
    socket.destroy();
    silent.close();
  });
});

/** Waits until a process has written a text; throws if it ends first. */
async function output(
  child: ChildProcess,
  stream: 'stdout' | 'stderr',
  text: string,
): Promise<void> {
  let written = '';
  await new Promise<void>((resolve, reject) => {
    child[stream]?.on('data', (piece: Buffer) => {
      written += piece.toString();
      if (written.includes(text)) resolve();
    });
    child.once('exit', (code, signal) =>
      reject(new Error(`ended with ${code ?? signal ?? ''} before it wrote ${text}: ${written}`)),
    );
  });
}
