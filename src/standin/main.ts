/** Runs one stand-in as a process; used by the demonstration and the failure tests only. */
import { appendFileSync } from 'node:fs';
import http from 'node:http';
import { Command } from 'commander';
import { listen } from '../common/http-server.js';
import { HttpWeightStoreClient } from '../weight-store/weight-store-client.js';
import { EngineStandIn } from './engine-stand-in.js';
import { PlatformStandIn } from './platform-stand-in.js';
import { WeightStoreStandIn } from './weight-store-stand-in.js';

/** Bytes of a gigabyte, as sizes in flags and documents count it. */
const GIGABYTE = 1e9;

type Listener = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

async function serve(host: string, port: number, listener: Listener): Promise<void> {
  const server = http.createServer((request, response) => {
    listener(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 65_000;
  const bound = await listen(server, host, port);
  process.stdout.write(`listening ${host}:${bound}\n`);
}

function splitList(text: string): string[] {
  return text.split(',').filter((item) => item !== '');
}

interface EngineFlags {
  host: string;
  port: string;
  weightStore: string;
  log: string;
  capacityGb: string;
  tokenMs: string;
  overheadMs: string;
  diskGbps: string;
  memoryGbps: string;
  memoryCache: string;
  diskCache: string;
}

function engineStandIn(flags: EngineFlags): EngineStandIn {
  return new EngineStandIn(
    {
      name: `${flags.host}:${flags.port}`,
      capacityBytes: Number(flags.capacityGb) * GIGABYTE,
      memoryBytesPerSecond: Number(flags.memoryGbps) * GIGABYTE,
      diskBytesPerSecond: Number(flags.diskGbps) * GIGABYTE,
      loadOverheadMs: Number(flags.overheadMs),
      tokenIntervalMs: Number(flags.tokenMs),
      memoryCache: splitList(flags.memoryCache),
      diskCache: splitList(flags.diskCache),
      memoryCacheSize: 2,
      log: (event) => {
        if (flags.log !== '') appendFileSync(flags.log, `${JSON.stringify(event)}\n`);
      },
    },
    new HttpWeightStoreClient(flags.weightStore),
  );
}

const program = new Command('stand-in').description('stand-ins of the outside systems');

program
  .command('platform')
  .option('--host <ip>', 'address', '127.0.0.1')
  .option('--port <port>', 'port', '0')
  .action(async (flags: { host: string; port: string }) => {
    const standIn = new PlatformStandIn();
    await serve(flags.host, Number(flags.port), (request, response) =>
      standIn.handle(request, response),
    );
  });

program
  .command('weight-store')
  .option('--host <ip>', 'address', '127.0.0.1')
  .option('--port <port>', 'port', '0')
  .option('--loads-per-second <n>', 'starts a second', '2')
  .option('--full-speed-loads <n>', 'transfers at once at full speed', '8')
  .option('--gbps <n>', 'gigabytes a second of one transfer', '10')
  .action(async (flags: Record<string, string>) => {
    const standIn = new WeightStoreStandIn({
      loadsPerSecond: Number(flags['loadsPerSecond']),
      fullSpeedLoads: Number(flags['fullSpeedLoads']),
      bytesPerSecond: Number(flags['gbps']) * GIGABYTE,
    });
    await serve(flags['host'] ?? '', Number(flags['port']), (request, response) =>
      standIn.handle(request, response),
    );
  });

program
  .command('engine')
  .requiredOption('--weight-store <ip:port>', 'address of the weight store')
  .requiredOption('--port <port>', 'port')
  .option('--host <ip>', 'address', '127.0.0.1')
  .option('--log <file>', 'file for the log of events', '')
  .option('--capacity-gb <n>', 'accelerator memory', '80')
  .option('--token-ms <n>', 'milliseconds a token', '10')
  .option('--overhead-ms <n>', 'milliseconds of a load besides the transfer', '100')
  .option('--disk-gbps <n>', 'gigabytes a second from disk', '20')
  .option('--memory-gbps <n>', 'gigabytes a second from memory', '60')
  .option('--memory-cache <models>', 'models cached in memory', '')
  .option('--disk-cache <models>', 'models cached on disk', '')
  .action(async (flags: EngineFlags) => {
    const standIn = engineStandIn(flags);
    await serve(flags.host, Number(flags.port), (request, response) =>
      standIn.handle(request, response),
    );
  });

await program.parseAsync();
