/** Runs the comparison, prints it, and writes the report. */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { printTable } from '../cli/output.js';
import { coldShare, idleHoursAt, startDelaySeconds } from './curves.js';
import { comparePolicies, type ComparedDay } from './policies.js';
import { figuresOf, renderReport, type WorkloadReport } from './report.js';
import type { DayResult } from './simulation.js';
import { makeWorkload, WORKLOAD_NAMES } from './workload.js';

/** What to run. */
export interface ExperimentOptions {
  readonly workloads: readonly string[];
  readonly seed: number;
  /** Folder for `report.html` and `results.json`. */
  readonly output: string;
}

const SHOWN = [
  'policy',
  'idle_hours',
  'cold_share',
  'delay_p95_s',
  'delay_p99_s',
  'delay_max_s',
  'live_cold_p99_s',
  'batch_cold_p99_s',
  'refused',
  'loads_remote',
  'loads_disk',
  'loads_memory',
  'loads_resident',
] as const;

function printDays(days: readonly ComparedDay[]): void {
  const rows = days.map((day) => {
    const figures = figuresOf(day);
    return SHOWN.map((name) => String(figures[name] ?? ''));
  });
  printTable(
    SHOWN.map((name) => name.toUpperCase()),
    rows,
  );
}

/** Idle hours of the shipped policy against the baselines, at its own cold starts. */
function printComparison(days: readonly ComparedDay[]): void {
  const shipped = days.find((day) => day.group === 'adaptive' && day.parameter === 1);
  if (shipped === undefined) return;
  const measures: readonly (readonly [string, (result: DayResult) => number])[] = [
    ['share of cold requests', coldShare],
    ['p99 start delay', (result) => startDelaySeconds(result, 99)],
  ];
  const rows = measures.map(([name, measure]) => {
    const value = measure(shipped.result);
    const { idleHours } = shipped.result;
    const fixed = idleHoursAt(days, 'fixed', measure, value);
    const bound = idleHoursAt(days, 'clairvoyant', measure, value);
    const ratio = (other: number | undefined): string =>
      other === undefined ? 'outside' : (idleHours / other).toFixed(2);
    return [name, value.toPrecision(3), idleHours.toFixed(1), ratio(fixed), ratio(bound)];
  });
  process.stdout.write('\n');
  printTable(['AT EQUAL', 'VALUE', 'IDLE HOURS', 'TIMES FIXED', 'TIMES CLAIRVOYANT'], rows);
}

/** Runs all policies on the chosen workloads. */
export function runExperiment(options: ExperimentOptions): boolean {
  const reports: WorkloadReport[] = [];
  for (const name of options.workloads) {
    const workload = makeWorkload(name, options.seed);
    if (workload === undefined) {
      process.stderr.write(`unknown workload "${name}"; there are ${WORKLOAD_NAMES.join(', ')}\n`);
      return false;
    }
    const startedAt = Date.now();
    const days = comparePolicies(workload);
    const seconds = ((Date.now() - startedAt) / 1000).toFixed(1);
    process.stdout.write(
      `\n${name}: ${workload.tenants.length} tenants, ${workload.arrivals.length} requests, ${days.length} days in ${seconds} s\n`,
    );
    printDays(days);
    printComparison(days);
    reports.push({ workload: name, days });
  }
  mkdirSync(options.output, { recursive: true });
  writeFileSync(path.join(options.output, 'report.html'), renderReport(reports, options.seed));
  const figures = reports.map(({ workload, days }) => ({ workload, days: days.map(figuresOf) }));
  writeFileSync(path.join(options.output, 'results.json'), JSON.stringify(figures, null, 2));
  process.stdout.write(`\nreport: ${path.join(options.output, 'report.html')}\n`);
  return true;
}
