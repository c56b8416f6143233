/** `npm run scale`: measures what a daemon spends at several sizes, and fits the slopes. */
import { Command } from 'commander';
import { printTable } from '../cli/output.js';
import { fitLine, valueAt } from './linear-fit.js';
import { runScale, TARGET, type ScaleResult } from './scale-run.js';

interface Flags {
  readonly daemons: string;
  readonly tenants?: string;
  readonly idleSeconds: string;
  readonly workSeconds: string;
  readonly changes: string;
  readonly deaths: string;
}

interface Measure {
  readonly title: string;
  readonly of: (result: ScaleResult) => number;
  readonly digits: number;
}

const MEASURES: readonly Measure[] = [
  { title: 'IDLE B/S', of: (r) => r.idle.bytesPerSecond, digits: 0 },
  { title: 'IDLE MSG/S', of: (r) => r.idle.messagesPerSecond, digits: 1 },
  { title: 'IDLE CORE%', of: (r) => r.idle.processorPercent, digits: 2 },
  { title: 'WORK B/S', of: (r) => r.work.bytesPerSecond, digits: 0 },
  { title: 'WORK B/S MAX', of: (r) => r.work.largestBytesPerSecond, digits: 0 },
  { title: 'WORK MSG/S', of: (r) => r.work.messagesPerSecond, digits: 1 },
  { title: 'WORK CORE%', of: (r) => r.work.processorPercent, digits: 2 },
  { title: 'HEAP MB', of: (r) => r.heapMegabytes, digits: 2 },
  { title: 'STORE REQ/S', of: (r) => r.storeRequestsPerSecond, digits: 1 },
  { title: 'CHANGE P50 MS', of: (r) => r.changeP50Ms, digits: 0 },
  { title: 'CHANGE MAX MS', of: (r) => r.changeMaxMs, digits: 0 },
  { title: 'TAKEOVER MS', of: (r) => r.takeoverMs, digits: 0 },
  { title: 'SETTLE S', of: (r) => r.settleSeconds, digits: 1 },
];

function printResults(results: readonly ScaleResult[]): void {
  printTable(
    ['DAEMONS', 'TENANTS', 'POOLS', ...MEASURES.map((measure) => measure.title)],
    results.map((result) => [
      String(result.daemons),
      String(result.tenants),
      String(result.pools),
      ...MEASURES.map((measure) => measure.of(result).toFixed(measure.digits)),
    ]),
  );
}

function printSlopes(results: readonly ScaleResult[]): void {
  if (results.length < 2) return;
  const rows = MEASURES.map((measure) => {
    const line = fitLine(results.map((r) => ({ x: r.daemons, y: measure.of(r) })));
    const atTarget = valueAt(line, TARGET.daemons);
    return [
      measure.title,
      line.base.toPrecision(4),
      line.slope.toPrecision(4),
      line.explained.toFixed(3),
      atTarget.toPrecision(4),
    ];
  });
  process.stdout.write('\n');
  printTable(['MEASURE', 'BASE', 'SLOPE A DAEMON', 'R2', `AT ${TARGET.daemons}`], rows);
}

async function main(flags: Flags): Promise<void> {
  const sizes = flags.daemons.split(',').map(Number);
  const results: ScaleResult[] = [];
  for (const daemons of sizes) {
    const share = Math.round((TARGET.tenants * daemons) / TARGET.daemons);
    const tenants = flags.tenants === undefined ? share : Number(flags.tenants);
    const times = {
      idleSeconds: Number(flags.idleSeconds),
      workSeconds: Number(flags.workSeconds),
      changes: Number(flags.changes),
      deaths: Number(flags.deaths),
    };
    // A size that fails does not take the figures of the others with it.
    try {
      results.push(await runScale(daemons, tenants, times));
      process.stderr.write(`measured ${daemons} daemons\n`);
    } catch (fault) {
      process.exitCode = 1;
      process.stderr.write(`failed: ${fault instanceof Error ? fault.message : String(fault)}\n`);
    }
  }
  if (results.length === 0) return;
  printResults(results);
  printSlopes(results);
}

const program = new Command('scale')
  .description('measures what hollow daemons spend for control')
  .option('--daemons <list>', 'sizes, separated by commas', '30,60,120,240')
  .option('--tenants <n>', 'tenants at each size; by default in proportion to the target')
  .option('--idle-seconds <n>', 'seconds measured without work', '10')
  .option('--work-seconds <n>', 'seconds measured with work', '15')
  .option('--changes <n>', 'changes of the configuration', '20')
  .option('--deaths <n>', 'owners that are killed at once', '2')
  .action(main);

await program.parseAsync();
