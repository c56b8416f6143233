/** Command line of the soak: runs one seed after the other, and exits with 1 if a guarantee was violated. */
import { Command, InvalidArgumentError, Option } from 'commander';
import { FURTHER_FAULT_KINDS, type FurtherFault } from './further-fault-plan.js';
import { OPT_IN_FAULT_KINDS, type OptInFault } from './opt-in-fault-plan.js';
import { SERIES_FAULT_KINDS, type SeriesFault } from './series-fault-plan.js';
import type { BackendCut } from './gateway-process.js';
import type { FaultKinds, SoakOptions } from './soak-options.js';
import { soakFolder } from './soak-options.js';
import { runSoak } from './soak-run.js';

interface Flags {
  readonly seed: string;
  readonly runs: string;
  readonly seconds: string;
  readonly gateways: string;
  readonly replicas: string;
  readonly requests: string;
  readonly keptCallers: string;
  readonly epochs: string;
  readonly revocation: string;
  readonly faults: FaultKinds;
  readonly only: (FurtherFault | OptInFault)['kind'][];
  readonly leaving: boolean;
  readonly alwaysHot: boolean;
  readonly drawnRanks: boolean;
  readonly partition?: string;
  readonly series: SeriesFault['kind'][] | boolean;
  readonly holdStarts: number;
  readonly partsAtOnce: string;
}

/** Excused violations to print: only the last ones. */
const MAX_EXCUSED_PRINTED = 5;
const FAULT_KINDS: readonly FaultKinds[] = ['first', 'further', 'both', 'none'];
const EPOCH_CHOICES = ['checked', 'unchecked', 'drawn'];
const REVOCATION_CHOICES = ['promised', 'none', 'drawn'];

const program = new Command('soak')
  .description('runs gateways as real processes under faults drawn from a seed')
  .option('--seed <number>', 'first seed', '1')
  .option('--runs <number>', 'number of consecutive seeds to run', '1')
  .option('--seconds <number>', 'duration of the phase in which faults begin', '30')
  .option('--gateways <number>', 'gateways to start', '4')
  .option('--replicas <number>', 'replicas to start', '6')
  .option('--requests <number>', 'requests per second of all callers together', '30')
  .option('--kept-callers <number>', 'callers that keep their connections open', '4')
  .addOption(
    new Option('--faults <kinds>', 'which kinds of faults are injected')
      .choices(FAULT_KINDS)
      .default('first'),
  )
  .addOption(
    new Option(
      '--only <kinds...>',
      'restrict the further kinds to these; also enables kinds that are injected only if listed here',
    )
      .choices([...new Set([...FURTHER_FAULT_KINDS, ...OPT_IN_FAULT_KINDS])])
      .default([]),
  )
  .option('--always-hot', 'the limited tenant always sends many times its limit', false)
  .option(
    '--partition <how,share,owner>',
    'partition gateways from all replicas in this way: hang, reset or refuse; share of the gateways; whether the owner is included',
  )
  .option(
    '--drawn-ranks',
    'draw from the seed the ranks of gateways and when the limited tenant exceeds its limit',
    false,
  )
  .option('--leaving', 'replicas also leave in all ways that the platform allows', false)
  .addOption(
    new Option(
      '--series [kinds...]',
      'overlapping series of signals, restarts and changes; all kinds, or only those listed',
    )
      .choices(SERIES_FAULT_KINDS)
      .default([]),
  )
  .option(
    '--hold-starts <milliseconds>',
    'stop each new gateway process for this time before its first instruction, as if no processor were free',
    durationOf,
    0,
  )
  .option(
    '--parts-at-once <number>',
    'crashing parts that callers send at the same time',
    'Infinity',
  )
  .addOption(
    new Option('--epochs <choice>', 'whether replicas reject orders with too low an epoch')
      .choices(EPOCH_CHOICES)
      .default('checked'),
  )
  .addOption(
    new Option(
      '--revocation <choice>',
      'whether gateways guarantee how soon a removed key is rejected',
    )
      .choices(REVOCATION_CHOICES)
      .default('promised'),
  );

/** The kinds that the flag lists; all kinds if it is given without a list. */
function seriesOf(flag: Flags['series']): readonly SeriesFault['kind'][] {
  return flag === true ? SERIES_FAULT_KINDS : flag || [];
}

/** Parses a duration in milliseconds. */
function durationOf(text: string): number {
  const milliseconds = Number(text);
  if (text.trim() !== '' && Number.isFinite(milliseconds) && milliseconds >= 0) return milliseconds;
  throw new InvalidArgumentError('Expected a number of milliseconds, 0 or more.');
}

/** Parses "how,share,owner". */
function partitionOf(text: string): NonNullable<SoakOptions['partition']> {
  const [how = '', share = '', owner = ''] = text.split(',');
  return { how: how as BackendCut, share: Number(share), includesOwner: owner === 'true' };
}

/** Whether replicas check epochs; with `drawn`, only for even seeds. */
function checksEpochs(choice: string, seed: number): boolean {
  return choice === 'drawn' ? seed % 2 === 0 : choice === 'checked';
}

/** Whether gateways guarantee revocation; with `drawn`, two seeds without alternate with two seeds with it. */
function promisesRevocation(choice: string, seed: number): boolean {
  return choice === 'drawn' ? seed % 4 >= 2 : choice === 'promised';
}

async function main(): Promise<void> {
  const flags = program.parse().opts<Flags>();
  let broken = 0;
  for (let run = 0; run < Number(flags.runs); run++) {
    const seed = Number(flags.seed) + run;
    const faultMs = Number(flags.seconds) * 1_000;
    const gateways = Number(flags.gateways);
    const result = await runSoak({
      seed,
      faultMs,
      folder: soakFolder(seed),
      gateways,
      replicas: Number(flags.replicas),
      requestsPerSecond: Number(flags.requests),
      keptCallers: Number(flags.keptCallers),
      checksEpochs: checksEpochs(flags.epochs, seed),
      promisesRevocation: promisesRevocation(flags.revocation, seed),
      faultKinds: flags.faults,
      only: flags.only,
      leaving: flags.leaving,
      alwaysHot: flags.alwaysHot,
      drawsRanks: flags.drawnRanks,
      series: seriesOf(flags.series),
      startHoldMs: flags.holdStarts,
      partsAtOnce: Number(flags.partsAtOnce),
      ...(flags.partition === undefined ? {} : { partition: partitionOf(flags.partition) }),
    });
    const { violations, excused, ...figures } = result;
    console.log(`seed ${seed}: ${violations.length} broken promises, ${JSON.stringify(figures)}`);
    for (const { rule, detail } of violations) console.log(`  ${rule}: ${detail}`);
    if (excused.length > 0) console.log(`  ${excused.length} more are excused by faults:`);
    for (const { rule, detail } of excused.slice(-MAX_EXCUSED_PRINTED))
      console.log(`    ${rule}: ${detail}`);
    broken += violations.length;
  }
  process.exit(broken === 0 ? 0 : 1);
}

// Exits through process.exit, whose handlers kill the gateways.
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
  process.once(signal, () => process.exit(1));
}

void main();
