/** Output of the command line: tables, JSON, and errors with their exit codes. */
import type { ServiceError } from '../common/errors.js';

/** Output formats. */
export type OutputFormat = 'table' | 'json';

/** Exit codes, which let scripts distinguish version conflicts and outages from other errors. */
export const EXIT_CODES = { ok: 0, failed: 1, conflict: 3, unavailable: 4 } as const;

/** Prints rows below a heading, with columns as wide as their widest cells. */
export function printTable(heading: readonly string[], rows: readonly (readonly string[])[]): void {
  const widths = heading.map((cell, column) =>
    Math.max(cell.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  for (const row of [heading, ...rows]) {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    process.stdout.write(`${cells.join('  ').trimEnd()}\n`);
  }
}

/** Prints a value as indented JSON. */
export function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}

/** Prints an error to standard error and sets the exit code. */
export function reportError(error: ServiceError): void {
  const retry =
    error.retryAfterSeconds === undefined ? '' : ` (retry after ${error.retryAfterSeconds} s)`;
  process.stderr.write(`error: ${error.kind}: ${error.message}${retry}\n`);
  process.exitCode = exitCodeOf(error);
}

function exitCodeOf(error: ServiceError): number {
  if (error.kind === 'version_conflict') return EXIT_CODES.conflict;
  const outages = ['platform_unavailable', 'platform_outcome_unknown', 'not_ready', 'draining'];
  return outages.includes(error.kind) ? EXIT_CODES.unavailable : EXIT_CODES.failed;
}
