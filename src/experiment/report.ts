/** The experiments' report: one HTML file with tables and plots, and the figures as JSON. */
import type { PriorityClass } from '../core/documents.js';
import { coldShare, startDelaySeconds } from './curves.js';
import type { ComparedDay, PolicyGroup } from './policies.js';

const WIDTH = 640;
const HEIGHT = 360;
const MARGIN = 56;
const COLOURS: Record<PolicyGroup, string> = {
  'never-unload': '#444444',
  fixed: '#1f77b4',
  adaptive: '#d62728',
  clairvoyant: '#2ca02c',
  variant: '#9467bd',
};
const CLASSES: readonly PriorityClass[] = ['live', 'interactive', 'batch'];
const MICROSECONDS = 1e6;

/** The comparison on one workload. */
export interface WorkloadReport {
  readonly workload: string;
  readonly days: readonly ComparedDay[];
}

/** One line of figures. */
export function figuresOf(day: ComparedDay): Readonly<Record<string, string | number>> {
  const { result } = day;
  const cold = Object.fromEntries(
    CLASSES.flatMap((name) =>
      [50, 95, 99].map((percentile) => {
        const seconds = result.coldStart[name].getValueAtPercentile(percentile) / MICROSECONDS;
        return [`${name}_cold_p${percentile}_s`, Number(seconds.toFixed(2))];
      }),
    ),
  );
  return {
    policy: result.policy,
    group: day.group,
    idle_hours: Number(result.idleHours.toFixed(1)),
    cold_share: Number(coldShare(result).toFixed(4)),
    delay_p95_s: Number(startDelaySeconds(result, 95).toFixed(2)),
    delay_p99_s: Number(startDelaySeconds(result, 99).toFixed(2)),
    delay_max_s: Number((result.startDelay.maxValue / MICROSECONDS).toFixed(2)),
    ...cold,
    refused: result.refused,
    loads_remote: result.loads.remote,
    loads_disk: result.loads.disk,
    loads_memory: result.loads.memory,
    loads_resident: result.loads.resident,
    most_transfers: result.mostTransfers,
  };
}

/** Renders the whole report. */
export function renderReport(reports: readonly WorkloadReport[], seed: number): string {
  const sections = reports.map(
    (report) =>
      `<h2>${report.workload}</h2>${plot(report, 'cold requests in 100', (day) => 100 * coldShare(day.result))}` +
      `${plot(report, 'p99 start delay, s', (day) => startDelaySeconds(day.result, 99))}${table(report)}`,
  );
  return `<!doctype html><meta charset="utf-8"><title>scaleslip experiment</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;font-size:12px}td,th{padding:2px 6px;border:1px solid #ccc;text-align:right}td:first-child{text-align:left}svg{margin-right:1em}</style>
<h1>Cold starts against idle accelerator hours</h1><p>Seed ${seed}; one simulated day a line.</p>
${sections.join('\n')}`;
}

function table(report: WorkloadReport): string {
  const rows = report.days.map(figuresOf);
  const heads = Object.keys(rows[0] ?? {});
  const head = heads.map((name) => `<th>${name}</th>`).join('');
  const body = rows
    .map((row) => `<tr>${heads.map((name) => `<td>${row[name] ?? ''}</td>`).join('')}</tr>`)
    .join('');
  return `<table><tr>${head}</tr>${body}</table>`;
}

/** Idle hours (across) against a measure (up); each group of policies is a line. */
function plot(
  report: WorkloadReport,
  title: string,
  measure: (day: ComparedDay) => number,
): string {
  const mostIdle = Math.max(1, ...report.days.map((day) => day.result.idleHours));
  const highest = Math.max(1e-9, ...report.days.map(measure));
  const x = (day: ComparedDay): number =>
    MARGIN + (day.result.idleHours / mostIdle) * (WIDTH - 2 * MARGIN);
  const y = (day: ComparedDay): number =>
    HEIGHT - MARGIN - (measure(day) / highest) * (HEIGHT - 2 * MARGIN);
  const groups = (Object.keys(COLOURS) as PolicyGroup[]).map((group, index) => {
    const days = report.days.filter((day) => day.group === group);
    const sorted = [...days].sort((a, b) => a.result.idleHours - b.result.idleHours);
    const colour = COLOURS[group];
    const path = sorted.map((day) => `${x(day).toFixed(1)},${y(day).toFixed(1)}`).join(' ');
    const line =
      group === 'variant' ? '' : `<polyline points="${path}" fill="none" stroke="${colour}"/>`;
    const dots = sorted
      .map(
        (day) =>
          `<circle cx="${x(day).toFixed(1)}" cy="${y(day).toFixed(1)}" r="3" fill="${colour}"><title>${day.result.policy}</title></circle>`,
      )
      .join('');
    const legend = `<text x="${WIDTH - MARGIN - 90}" y="${MARGIN + 16 * index}" fill="${colour}">${group}</text>`;
    return line + dots + legend;
  });
  const bottom = HEIGHT - MARGIN;
  const axes =
    `<line x1="${MARGIN}" y1="${bottom}" x2="${WIDTH - MARGIN}" y2="${bottom}" stroke="black"/>` +
    `<line x1="${MARGIN}" y1="${MARGIN}" x2="${MARGIN}" y2="${bottom}" stroke="black"/>` +
    `<text x="${WIDTH / 2}" y="${HEIGHT - 12}" text-anchor="middle">idle replica hours a day (0 to ${mostIdle.toFixed(0)})</text>` +
    `<text x="${MARGIN}" y="${MARGIN - 12}">${title} (0 to ${highest.toFixed(1)})</text>`;
  return `<svg width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">${axes}${groups.join('')}</svg>`;
}
