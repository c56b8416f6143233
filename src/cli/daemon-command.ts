/** `scaleslip daemon`: runs one daemon until it receives SIGTERM or SIGINT. SIGHUP does not end it. */
import type { Command } from 'commander';
import { LinkFaults } from '../common/link-faults.js';
import { createLogger, faultText, type Logger } from '../common/logger.js';
import { Daemon } from '../daemon/daemon.js';
import { loadSettings, type DaemonSettings } from '../daemon/settings.js';
import { HttpEngineClient } from '../engines/http-engine-client.js';
import { HttpPlatformClient } from '../platform/http-platform-client.js';
import { reportError } from './output.js';

interface DaemonFlags {
  readonly settings: string;
  readonly name?: string;
  readonly address?: string;
  readonly callerPort?: string;
  readonly peerPort?: string;
  readonly zone?: string;
  readonly site?: string;
  readonly platform?: string;
}

/** Adds the `daemon` command. */
export function addDaemonCommand(program: Command): void {
  program
    .command('daemon')
    .description('run a daemon, which routes requests and may own pools and read the platform')
    .requiredOption('-c, --settings <file>', 'settings file (YAML)')
    .option('--name <name>', 'name of the daemon in logs')
    .option('--address <ip>', 'IPv4 address to listen on and to announce to other daemons')
    .option('--caller-port <port>', 'port for callers and operators')
    .option('--peer-port <port>', 'port for other daemons')
    .option('--zone <zone>', 'zone of this machine')
    .option('--site <site>', 'site of this machine')
    .option('--platform <ip:port>', 'address of the platform’s service')
    .action(runDaemon);
}

function overridesOf(flags: DaemonFlags): Record<string, unknown> {
  const { name, address, zone, site, platform, callerPort, peerPort } = flags;
  const given = Object.entries({ name, address, zone, site, platform });
  const stringOverrides = Object.fromEntries(given.filter(([, value]) => value !== undefined));
  const ports = {
    ...(callerPort === undefined ? {} : { callerPort: Number(callerPort) }),
    ...(peerPort === undefined ? {} : { peerPort: Number(peerPort) }),
  };
  return { ...stringOverrides, ...ports };
}

async function runDaemon(flags: DaemonFlags): Promise<void> {
  const settings = loadSettings(flags.settings, overridesOf(flags));
  if (settings.isErr) return reportError(settings.error);
  const logger = createLogger({ daemon: settings.value.name, level: settings.value.logLevel });
  const daemon = makeDaemon(settings.value, logger);
  process.on('uncaughtException', (fault) => {
    logger.error('uncaught_fault', { reason: faultText(fault) });
    process.exit(1);
  });
  const stop = (): void => {
    void daemon.drain().then(() => process.exit(0));
  };
  // Not `once`: without a handler, a second signal would end the process while requests are still
  // running.
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  // Without a handler, the signal would end the process and cut the requests that are running.
  process.on('SIGHUP', () => logger.info('settings_signal'));
  await daemon.start();
}

function makeDaemon(settings: DaemonSettings, logger: Logger): Daemon {
  const faults = new LinkFaults();
  let httpBytes = 0;
  const onBytes = (bytes: number): void => {
    httpBytes += bytes;
  };
  return new Daemon(settings, {
    platform: new HttpPlatformClient(settings.platform, { faults, onBytes }),
    engines: new HttpEngineClient({ faults, onBytes }),
    logger,
    faults,
    httpControlBytes: () => httpBytes,
  });
}
