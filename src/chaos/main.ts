/** `npm run chaos`: runs the scenarios and prints the violations that the auditor counted. */
import { Command } from 'commander';
import { isClean, type Findings } from './auditor.js';
import { runScenario, type ScenarioResult } from './chaos-run.js';
import { SCENARIOS } from './scenarios.js';
import { printTable } from '../cli/output.js';
import { exitOnSignals } from '../testbed/managed-process.js';

const COLUMNS: readonly (readonly [keyof Findings, string])[] = [
  ['replicasBeyondDecided', 'REPL'],
  ['memoryBeyondCapacity', 'MEM'],
  ['requestsWithoutEnd', 'NOEND'],
  ['endsPastDeadline', 'LATE'],
  ['wrongAnswers', 'WRONG'],
  ['falseNotRun', 'NOTRUN'],
  ['repeatedRuns', 'TWICE'],
  ['workForLeaving', 'LEAV'],
  ['streamsCutByPlannedStop', 'CUT'],
  ['configurationLate', 'CONF'],
  ['reversions', 'REV'],
];

function rowOf(result: ScenarioResult): string[] {
  const servedPercent = result.requests === 0 ? 0 : (100 * result.served) / result.requests;
  return [
    result.name,
    ...COLUMNS.map(([key]) => String(result.findings[key])),
    String(result.requests),
    `${servedPercent.toFixed(1)}%`,
    result.slowestChangeMs === undefined ? '-' : `${result.slowestChangeMs}`,
    result.placementGapMs === undefined ? '-' : `${result.placementGapMs}`,
  ];
}

function printRefusals(result: ScenarioResult): void {
  const kinds = new Map<string, number>();
  for (const { answer } of result.records) {
    if (answer.outcome === 'whole') continue;
    const kind = answer.errorKind ?? `lost: ${answer.reason}`;
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
  }
  const text = [...kinds].map(([kind, count]) => `${kind}=${count}`).join(' ');
  process.stdout.write(`${result.name.padEnd(24)} refusals: ${text === '' ? 'none' : text}\n`);
}

async function main(names: readonly string[], seed: number): Promise<void> {
  const selected = SCENARIOS.filter(
    (scenario) => names.length === 0 || names.includes(scenario.name),
  );
  const results: ScenarioResult[] = [];
  for (const scenario of selected) {
    const result = await runScenario(scenario, seed);
    results.push(result);
    printRefusals(result);
  }
  process.stdout.write('\n');
  const heading = ['SCENARIO', ...COLUMNS.map(([, title]) => title)];
  printTable([...heading, 'REQUESTS', 'SERVED', 'CONF MS', 'GAP MS'], results.map(rowOf));
  const cleanCount = results.filter((result) => isClean(result.findings)).length;
  process.stdout.write(`\n${cleanCount} of ${results.length} scenarios are clean\n`);
  if (cleanCount < results.length) process.exitCode = 1;
}

const program = new Command('chaos')
  .description('runs failure scenarios on a cluster of real processes')
  .argument('[scenarios...]', 'names of the scenarios to run (default: all)')
  .option('--seed <n>', 'seed of the generated load', '1')
  .action((names: string[], flags: { seed: string }) => main(names, Number(flags.seed)));

exitOnSignals();
await program.parseAsync();
