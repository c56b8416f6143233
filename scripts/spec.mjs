/**
 * Model-checks the specification with Spin, exhaustively.
 *
 *   node scripts/spec.mjs            every model must hold
 *   node scripts/spec.mjs mutants    every model without one of its fences must fail
 *
 * Prints a table and exits non-zero if anything is not as it should be.
 */
import { execFile } from 'node:child_process';
import { mkdirSync, readFileSync, rmSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const run = promisify(execFile);
const SPEC_DIRECTORY = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../spec');
const BUILD_DIRECTORY = path.join(SPEC_DIRECTORY, 'build');
/** Megabytes that one search may use; no more than PARALLEL run at once. */
const MEMORY_LIMIT_MB = 2600;
const PARALLEL = 3;
const TIME_LIMIT_MS = 110_000;
const DEPTH_LIMIT = 2_000_000;
const OUTPUT_LIMIT_BYTES = 64 * 1024 * 1024;

const { models, mutants } = JSON.parse(
  readFileSync(path.join(SPEC_DIRECTORY, 'models.json'), 'utf8'),
);

function definesOf(defines) {
  return Object.entries(defines).map(([name, value]) => `-D${name}=${value}`);
}

/** Builds and runs one search; resolves with what Spin counted. */
async function search(name, model, defines, breadthFirst) {
  const directory = path.join(BUILD_DIRECTORY, name);
  rmSync(directory, { recursive: true, force: true });
  mkdirSync(directory, { recursive: true });
  const source = path.join(SPEC_DIRECTORY, model.file);
  await run('spin', ['-a', ...definesOf({ ...model.defines, ...defines }), source], {
    cwd: directory,
  });
  const flags = ['-w', '-O2', '-DSAFETY', '-DNOREDUCE', `-DMEMLIM=${MEMORY_LIMIT_MB}`];
  if (breadthFirst) flags.push('-DBFS');
  await run('gcc', [...flags, '-o', 'pan', 'pan.c'], { cwd: directory });
  const startedAt = Date.now();
  const searchFlags = breadthFirst ? ['-n', '-w24'] : [`-m${DEPTH_LIMIT}`, '-n', '-w24'];
  const output = await run('./pan', searchFlags, {
    cwd: directory,
    timeout: TIME_LIMIT_MS,
    maxBuffer: OUTPUT_LIMIT_BYTES,
  }).then(
    (done) => done.stdout,
    (fault) => `${fault.stdout ?? ''}\nINCOMPLETE ${fault.signal ?? fault.code}`,
  );
  return { ...readOutput(output), seconds: (Date.now() - startedAt) / 1000 };
}

function readOutput(output) {
  const numberOf = (pattern) => Number(pattern.exec(output)?.[1] ?? NaN);
  const complete =
    !/INCOMPLETE|not completed|max search depth too small|out of memory/i.test(output) &&
    /errors: \d+/.test(output);
  return {
    states: numberOf(/(\d+) states, stored/),
    errors: numberOf(/errors: (\d+)/),
    complete,
  };
}

async function inParallel(jobs) {
  const queue = [...jobs];
  const worker = async () => {
    for (let job = queue.shift(); job !== undefined; job = queue.shift()) await job();
  };
  await Promise.all(Array.from({ length: PARALLEL }, worker));
}

function printRow(cells, widths) {
  console.log(cells.map((cell, index) => String(cell).padEnd(widths[index])).join('  '));
}

async function checkModels() {
  const widths = [28, 12, 8, 10, 8];
  printRow(['model', 'states', 'errors', 'complete', 'seconds'], widths);
  let failed = 0;
  await inParallel(
    models.map((model) => async () => {
      const result = await search(model.name, model, {}, false);
      if (result.errors !== 0 || !result.complete) failed += 1;
      const { states, errors, complete, seconds } = result;
      printRow([model.name, states, errors, complete, seconds.toFixed(1)], widths);
    }),
  );
  console.log(`${models.length - failed} of ${models.length} models hold`);
  return failed === 0;
}

async function checkMutants() {
  const widths = [28, 28, 12, 8, 8];
  printRow(['removed fence', 'model', 'states', 'caught', 'seconds'], widths);
  let missed = 0;
  await inParallel(
    mutants.map((mutant) => async () => {
      const model = models.find((candidate) => candidate.name === mutant.model);
      const name = `mutant-${mutant.model}-${mutant.define}`;
      const result = await search(name, model, { [mutant.define]: 1 }, true);
      const caught = result.errors > 0;
      if (!caught) missed += 1;
      const { states, seconds } = result;
      const word = caught ? 'yes' : 'NO';
      printRow([mutant.define, mutant.model, states, word, seconds.toFixed(1)], widths);
    }),
  );
  console.log(`${mutants.length - missed} of ${mutants.length} removed fences are caught`);
  return missed === 0;
}

const holds = process.argv[2] === 'mutants' ? await checkMutants() : await checkModels();
process.exitCode = holds ? 0 : 1;
