/**
 * Plays days of site files on a given bench and prints what they are worth: as the checkout stands,
 * and with single policies switched off.
 *
 *   node scripts/ablation.mjs --bench PROGRAM --sites FILE... [--days DAY[:SEED],...]
 *     [--off POLICY,...|all] [--repeat N] [--jobs N] [--small] [--why TEXT]
 *
 * A policy is a key under `policies` in deploy/settings.json. Each variant without one is played from
 * a clone of the last commit under results/, so that the checkout and its settings stay as they are.
 * The bench writes its journal where a day is played: entries of the variants lie in their clones.
 */
import { Command } from 'commander';
import { execFile } from 'node:child_process';
import { mkdirSync, readFileSync, rmSync, symlinkSync, utimesSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const run = promisify(execFile);
const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
const RESULTS = path.join(ROOT, 'results', 'ablation');
const SETTINGS = path.join('deploy', 'settings.json');
const OUTPUT_LIMIT_BYTES = 256 * 1024 * 1024;
/** A site file's section of one standard day, and the day's name in it. */
const DAY_NAME = /\[\[day\]\]\s+name = "([^"]+)"/g;

const options = new Command()
  .requiredOption('--bench <program>', 'the bench that plays the days')
  .requiredOption('--sites <files...>', 'site files')
  .option('--days <list>', 'days, each with an optional seed; the standard days if not given')
  .option('--off <list>', 'policies to switch off in turn, or "all"')
  .option('--repeat <count>', 'plays of each day', '1')
  .option('--jobs <count>', 'days at a time', '4')
  .option('--small', 'small twins of large days')
  .option('--why <text>', 'a line for the journal', 'ablation')
  .parse()
  .opts();

/** The policies that the deployed settings name. */
function policyNames() {
  const text = readFileSync(path.join(ROOT, SETTINGS), 'utf8');
  const section = /"policies": \{([^}]*)\}/.exec(text)?.[1] ?? '';
  return [...section.matchAll(/"(\w+)": true/g)].map((match) => match[1]);
}

/** A clone of the last commit without one policy; the folder in which its days are played. */
async function makeVariant(policy) {
  const folder = path.join(RESULTS, policy);
  rmSync(folder, { recursive: true, force: true });
  await run('git', ['clone', '--quiet', ROOT, folder]);
  symlinkSync(path.join(ROOT, 'node_modules'), path.join(folder, 'node_modules'));
  // Older than the shared packages, so that the build does not install them anew under other plays.
  utimesSync(path.join(folder, 'package-lock.json'), 0, 0);
  const file = path.join(folder, SETTINGS);
  const text = readFileSync(file, 'utf8');
  writeFileSync(file, text.replace(`"${policy}": true`, `"${policy}": false`));
  return { name: `without ${policy}`, folder };
}

function standardDays(site) {
  return [...readFileSync(site, 'utf8').matchAll(DAY_NAME)].map((match) => match[1]);
}

function daysOf(site) {
  const listed = options.days?.split(',') ?? standardDays(site);
  return listed.map((text) => {
    const [day, seed] = text.split(':');
    return { day, seed };
  });
}

/** Plays one day; resolves with its report, or with what went wrong. */
async function play({ variant, site, day, seed, index }) {
  const report = path.join(RESULTS, 'reports', `${index}.json`);
  rmSync(report, { force: true });
  const flags = ['--report', report, '--why', `${options.why}; ${variant.name}`];
  if (seed !== undefined) flags.push('--seed', seed);
  if (options.small) flags.push('--small');
  const call = { cwd: variant.folder, maxBuffer: OUTPUT_LIMIT_BYTES };
  try {
    await run(options.bench, ['run', site, day, ...flags], call);
    return JSON.parse(readFileSync(report, 'utf8'));
  } catch (fault) {
    // A day that breaks a rule is reported too, with an exit code of its own.
    try {
      return JSON.parse(readFileSync(report, 'utf8'));
    } catch {
      return { fault: String(fault.stderr ?? fault).slice(0, 200) };
    }
  }
}

/** Plays all, `jobs` at a time, in order. */
async function playAll(plays) {
  const results = [];
  const waiting = [...plays];
  const worker = async () => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      const report = await play(next);
      results.push({ ...next, report });
      printDay(next, report);
    }
  };
  await Promise.all(Array.from({ length: Number(options.jobs) }, worker));
  return results;
}

function printDay({ variant, site, day, seed }, report) {
  const label = `${path.basename(site, '.toml')} ${day}${seed === undefined ? '' : `:${seed}`}`;
  if (report.fault) return console.log(`${variant.name} | ${label} | FAULT ${report.fault}`);
  const kinds = report.classes.map(({ name, worth }) => `${name} ${worth}`).join(', ');
  const prices = [...report.prices].sort((a, b) => b[2] - a[2]).slice(0, 4);
  const dearest = prices.map(([name, , price]) => `${name} ${price.toFixed(3)}`).join(', ');
  const broken = Object.keys(report.breaks);
  const missed = broken.length + report.missed.length > 0;
  const rules = missed ? ` | BROKEN ${[...broken, ...report.missed].join(',')}` : '';
  console.log(
    `${variant.name} | ${label} | ${report.G.toFixed(3)} | ${kinds} | ${dearest}${rules}`,
  );
}

function mean(values) {
  return values.reduce((total, value) => total + value, 0) / Math.max(1, values.length);
}

function groupBy(values, keyOf) {
  const groups = new Map();
  for (const value of values)
    groups.set(keyOf(value), [...(groups.get(keyOf(value)) ?? []), value]);
  return groups;
}

/** Standard deviation over the plays of one day, averaged over the days. */
function spread(results) {
  const byDay = groupBy(results, ({ site, day, seed }) => `${site} ${day} ${seed}`);
  const deviations = [...byDay.values()].map((plays) => {
    const worths = plays.map(({ report }) => report.G ?? 0);
    const middle = mean(worths);
    return Math.sqrt(mean(worths.map((worth) => (worth - middle) ** 2)));
  });
  return mean(deviations);
}

function printTable(results) {
  console.log('\n| site | variant | days played | mean worth | worst | spread of a day |');
  console.log('| --- | --- | --- | --- | --- | --- |');
  const groups = groupBy(results, ({ site, variant }) => `${site}\n${variant.name}`);
  for (const group of groups.values()) {
    const worths = group.map(({ report }) => report.G ?? 0);
    const [{ site, variant }] = group;
    const cells = [
      path.basename(site, '.toml'),
      variant.name,
      worths.length,
      mean(worths).toFixed(3),
      Math.min(...worths).toFixed(3),
      spread(group).toFixed(3),
    ];
    console.log(`| ${cells.join(' | ')} |`);
  }
}

mkdirSync(path.join(RESULTS, 'reports'), { recursive: true });
const off = options.off === 'all' ? policyNames() : (options.off?.split(',') ?? []);
const variants = [{ name: 'all policies', folder: ROOT }];
for (const policy of off) variants.push(await makeVariant(policy));
const repeats = Array.from({ length: Number(options.repeat) });
const sites = options.sites.map((site) => path.resolve(site));
const plays = repeats.flatMap(() =>
  variants.flatMap((variant) =>
    sites.flatMap((site) => daysOf(site).map((entry) => ({ variant, site, ...entry }))),
  ),
);
printTable(await playAll(plays.map((entry, index) => ({ ...entry, index }))));
