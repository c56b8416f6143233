/**
 * Passes over the failing tests that KNOWN-RED.txt lists, and prints them.
 *
 *   node scripts/known-red.mjs
 *
 * Reads the failures that the last test run has left (`test/summary-reporter.ts`). Exits with 1 if
 * any of them is not listed, if an entry is listed twice, or if the run left none to read.
 * A line of the list: `file > suite > test | cause | issue N`. A seeded run that is no test of the run
 * stands there as its command, with one seed. An indented line below an entry says what was learned since.
 */
import { existsSync, readFileSync } from 'node:fs';
import { pathToFileURL } from 'node:url';

const LIST = 'KNOWN-RED.txt';
const FAILURES = 'results/failed-tests.json';
/** How a line begins that belongs to the entry above it. */
const NOTE = ' ';
/** How a line begins that names a command in place of a test. */
const COMMAND = 'npm run ';

/** The entries of a list: the test's full name and the rest of its line. */
export function readKnown(text) {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith(NOTE))
    .map((line) => ({ test: line.split('|')[0].trim(), line }));
}

/** What is wrong with a run: empty if each failure is listed. */
export function problemsOf(failed, known) {
  const listed = new Set(known.map(({ test }) => test));
  const unlisted = failed.filter((test) => !listed.has(test));
  const problems = unlisted.map((test) => `fails and is not in ${LIST}: ${test}`);
  for (const { test, line } of known) {
    if (line.split('|').length !== 3) problems.push(`${LIST}: no test | cause | issue: ${line}`);
    if (!failed.includes(test) && !test.startsWith(COMMAND)) {
      console.log(`listed, and passes now: ${test}`);
    }
  }
  for (const entry of repeatedEntries(known)) problems.push(`${LIST}: listed twice: ${entry}`);
  if (failed.length === 0) problems.push('the run failed, but no test did');
  return problems;
}

/** Tests and commands with more than one line: which of them a run has played can't be told. */
function repeatedEntries(known) {
  const entries = known.map(({ test, line }) => {
    return test.startsWith(COMMAND) ? `${test} | ${kindOfFailure(line)}` : test;
  });
  return entries.filter((entry, place) => entries.indexOf(entry) !== place);
}

/** The broken promise that a line names first: one seed may break several. */
function kindOfFailure(line) {
  return /^\s*(\w+)/.exec(line.split('|')[1] ?? '')?.[1] ?? '';
}

function main() {
  if (!existsSync(FAILURES)) {
    console.error(`${FAILURES} is missing: the tests did not run to their end`);
    return 1;
  }
  const failed = JSON.parse(readFileSync(FAILURES, 'utf8'));
  const known = existsSync(LIST) ? readKnown(readFileSync(LIST, 'utf8')) : [];
  for (const { line } of known) console.log(`known red: ${line}`);
  const problems = problemsOf(failed, known);
  for (const problem of problems) console.error(problem);
  return problems.length === 0 ? 0 : 1;
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) process.exit(main());
