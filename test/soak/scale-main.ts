/** Command line of the gateway's scale run: a table of sizes, and the lines through them. */
import { Command } from 'commander';
import { fitLine, valueAt } from '../../src/scale/linear-fit.js';
import { measureSize, type ScaleFigures } from './scale-run.js';

const TARGET_GATEWAYS = 330;

const program = new Command('gateway-scale')
  .description('what a gateway spends for control, at several sizes')
  .option('--sizes <list>', 'gateways, by commas', '4,8,16,32')
  .option('--seconds <number>', 'time to measure each size', '10');

async function main(): Promise<void> {
  const { sizes, seconds } = program.parse().opts<{ sizes: string; seconds: string }>();
  const figures: ScaleFigures[] = [];
  for (const size of sizes.split(',').map(Number)) {
    const measureMs = Number(seconds) * 1_000;
    const folder = `results/gateway-scale-${size}`;
    figures.push(await measureSize({ gateways: size, measureMs, folder }));
  }
  console.table(figures.map(rounded));
  for (const key of Object.keys(figures[0] ?? {}) as (keyof ScaleFigures)[]) {
    if (key === 'gateways' || key === 'served' || key === 'asked') continue;
    const line = fitLine(figures.map((each) => ({ x: each.gateways, y: each[key] })));
    const { base, slope, explained } = line;
    const atTarget = valueAt(line, TARGET_GATEWAYS).toFixed(1);
    console.log(
      `${key}: ${base.toFixed(2)} + ${slope.toFixed(4)} n (R² ${explained.toFixed(2)}), at ${TARGET_GATEWAYS}: ${atTarget}`,
    );
  }
  process.exit(0);
}

function rounded(figures: ScaleFigures): Record<string, number> {
  const entries = Object.entries(figures) as [string, number][];
  return Object.fromEntries(entries.map(([key, value]) => [key, Math.round(value * 100) / 100]));
}

void main();
