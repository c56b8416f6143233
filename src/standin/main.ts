/** Runs one stand-in as a process; for the demonstration, the tests and the benchmarks only. */
import { appendFileSync } from 'node:fs';
import http from 'node:http';
import { Command } from 'commander';
import { listen } from '../common/http-server.js';
import { HttpWeightStoreClient } from '../weight-store/weight-store-client.js';
import { EngineStandIn } from './engine-stand-in.js';
import { PlatformStandIn } from './platform-stand-in.js';
import { WeightStoreStandIn } from './weight-store-stand-in.js';

/** Bytes in a gigabyte, as counted in flags and in operators' documents. */
const GIGABYTE = 1e9;

type CallHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

async function serve(host: string, port: number, handler: CallHandler): Promise<void> {
  const server = http.createServer((request, response) => {
    handler(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 65_000;
  const boundPort = await listen(server, host, port);
  process.stdout.write(`listening ${host}:${boundPort}\n`);
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

function createEngineStandIn(flags: EngineFlags): EngineStandIn {
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

const program = new Command('stand-in').description('runs a stand-in for an external system');

program
  .command('platform')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <port>', 'port to listen on; 0 for any free port', '0')
  .action(async (flags: { host: string; port: string }) => {
    const standIn = new PlatformStandIn();
    await serve(flags.host, Number(flags.port), (request, response) =>
      standIn.handle(request, response),
    );
  });

program
  .command('weight-store')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <port>', 'port to listen on; 0 for any free port', '0')
  .option('--loads-per-second <n>', 'transfers that may start per second', '2')
  .option('--full-speed-loads <n>', 'concurrent transfers that run at full speed', '8')
  .option('--gbps <n>', 'speed of one transfer in gigabytes per second', '10')
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
  .requiredOption('--port <port>', 'port to listen on')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--log <file>', 'file for the event log; empty for none', '')
  .option('--capacity-gb <n>', 'accelerator memory in gigabytes', '80')
  .option('--token-ms <n>', 'milliseconds per token', '10')
  .option('--overhead-ms <n>', 'milliseconds that a load takes in addition to the transfer', '100')
  .option('--disk-gbps <n>', 'load speed from disk in gigabytes per second', '20')
  .option('--memory-gbps <n>', 'load speed from memory in gigabytes per second', '60')
  .option(
    '--memory-cache <models>',
    'models cached in memory at the start, separated by commas',
    '',
  )
  .option('--disk-cache <models>', 'models cached on disk at the start, separated by commas', '')
  .action(async (flags: EngineFlags) => {
    const standIn = createEngineStandIn(flags);
    await serve(flags.host, Number(flags.port), (request, response) =>
      standIn.handle(request, response),
    );
  });

await program.parseAsync();
