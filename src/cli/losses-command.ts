/** `scaleslip losses`: reports from gateway logs why requests were refused, late or lost. */
import type { Command } from 'commander';
import { open } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { Result } from 'true-myth';
import { serviceError, type ServiceError } from '../common/errors.js';
import { parseLogLine, type LogEvent } from '../diagnosis/log-line.js';
import { lossReport, type Percentiles } from '../diagnosis/loss-report.js';
import { reportError } from './output.js';

/** File name that stands for standard input. */
const STANDARD_INPUT = '-';

/** Adds the `losses` command. */
export function addLossesCommand(program: Command): void {
  program
    .command('losses')
    .description('report from gateway logs why requests were refused, late or lost')
    .argument('<files...>', 'log files of one or more gateways; "-" for standard input')
    .action(async (files: string[]) => {
      const events: LogEvent[] = [];
      for (const file of files) {
        const read = await readEvents(file);
        if (read.isErr) return reportError(read.error);
        events.push(...read.value);
      }
      printReport(events);
    });
}

async function readEvents(file: string): Promise<Result<LogEvent[], ServiceError>> {
  const events: LogEvent[] = [];
  try {
    const input = file === STANDARD_INPUT ? process.stdin : await openInput(file);
    for await (const line of createInterface({ input })) {
      const event = parseLogLine(line);
      if (event !== undefined) events.push(event);
    }
  } catch (fault) {
    return Result.err(
      serviceError('invalid_document', `${file}: cannot be read: ${String(fault)}`),
    );
  }
  if (events.length > 0) return Result.ok(events);
  return Result.err(serviceError('invalid_document', `${file}: contains no gateway log line`));
}

/**
 * Opens a file before its first line is read, so that the caller's `try` block catches errors from
 * opening it.
 */
async function openInput(file: string): Promise<NodeJS.ReadableStream> {
  const handle = await open(file);
  return handle.createReadStream();
}

function printReport(events: readonly LogEvent[]): void {
  const report = lossReport(events);
  printCounts('requests by end', report.ends);
  printCounts('refusals by cause', report.refusals);
  printCounts('served streams by timing', report.streams);
  printSpreads('time to the first part of served requests, ms', report.firstPart);
  printSpreads('time of loads by place of the copy, ms', report.loads);
  printSpreads(
    'model loaded later than announced, by place of the copy, ms',
    report.forecastErrors,
  );
}

function printCounts(
  title: string,
  groups: ReadonlyMap<string, ReadonlyMap<string, number>>,
): void {
  console.log(`${title}:`);
  for (const [route, counts] of [...groups].sort()) {
    const parts = [...counts].sort((a, b) => b[1] - a[1]);
    console.log(`  ${route}: ${parts.map(([key, number]) => `${key} ${number}`).join(', ')}`);
  }
}

function printSpreads(title: string, spreads: ReadonlyMap<string, Percentiles>): void {
  console.log(`${title}:`);
  for (const [key, { count, p50, p95 }] of [...spreads].sort()) {
    console.log(`  ${key}: ${count}, p50 ${p50}, p95 ${p95}`);
  }
}
