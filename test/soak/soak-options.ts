/** Options and result of a soak test. */
import type { CrowdRecord } from './crowd.js';
import type { CrashReport } from './audit-crashes.js';
import type { SilenceCounts } from './audit-silences.js';
import type { StopCounts } from './audit-stops.js';
import type { StreamCounts } from './audit-streams.js';
import path from 'node:path';
import type { PartitionReport } from './audit-partitions.js';
import type { Violation } from './evidence.js';
import type { FurtherFault } from './further-fault-plan.js';
import type { LimitMargin } from './limit-margin.js';
import type { OptInFault, PartitionFault } from './opt-in-fault-plan.js';
import type { SignalsAtStart } from './process-signals.js';
import type { RunLog } from './run-log.js';
import type { SeriesFault } from './series-fault-plan.js';

/** Groups of faults to inject. Each group has a separate random generator. */
export type FaultKinds = 'first' | 'further' | 'both' | 'none';

/** Options of a soak test. */
export interface SoakOptions {
  readonly seed: number;
  /** Length of the fault phase, in which faults start, in milliseconds. */
  readonly faultMs: number;
  /** Folder for the settings and logs of the run. */
  readonly folder: string;
  readonly gateways?: number;
  /** Number of replicas; two thirds of them serve models. */
  readonly replicas?: number;
  readonly requestsPerSecond?: number;
  /** Number of callers that reuse a connection until its gateway closes it; none by default. */
  readonly keptCallers?: number;
  /** Whether replicas reject commands with a stale epoch; true by default. */
  readonly checksEpochs?: boolean;
  /**
   * Whether gateways guarantee a maximum time until a revoked key is rejected; true by default.
   * Without it, gateways do not confirm their configuration with each other, and learn of a new one only by watches.
   */
  readonly promisesRevocation?: boolean;
  /** The basic kinds (`first`) by default. */
  readonly faultKinds?: FaultKinds;
  /** Restricts the further kinds to these (all by default), and enables the opt-in kinds that are listed. */
  readonly only?: readonly (FurtherFault | OptInFault)['kind'][];
  /**
   * Whether the limited tenant always sends far more than its limit allows. By default it alternates between hot and
   * quiet periods, so that a fault coincides with a hot tenant in only about half of the runs.
   */
  readonly alwaysHot?: boolean;
  /** Whether the seed also determines the ranks of the gateways and the hot periods of the limited tenant; false by default. */
  readonly drawsRanks?: boolean;
  /** Whether replicas also leave in all ways that the platform allows; false by default. */
  readonly leaving?: boolean;
  /** Replaces what the seed draws for partitions of gateways from all replicas. */
  readonly partition?: Partial<PartitionFault>;
  /** Maximum number of crashing parts that callers send at the same time; unlimited by default. */
  readonly partsAtOnce?: number;
  /** Kinds of series of signals, restarts and configuration changes; none by default. */
  readonly series?: readonly SeriesFault['kind'][];
  /** Time for which each new gateway process is stopped before its first instruction; 0 by default. */
  readonly startHoldMs?: number;
}

/** Result of a soak test. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  /** Violations that replicas observed and that concurrent faults excuse. */
  readonly excused: readonly Violation[];
  readonly calls: number;
  readonly served: number;
  readonly faults: number;
  readonly loads: number;
  readonly storeCalls: number;
  /** Number of faults that hit the counter of the limited tenant while the tenant was hot. */
  readonly hotCounterFaults: number;
  readonly limit: LimitMargin;
  /** Number of times that brittle replicas fell over. */
  readonly brittleFalls: number;
  /** Crashing requests and parts that reached a replica. */
  readonly crashes: readonly CrashReport[];
  /** Number of times that most new connections went to one gateway, and how many of these were judged. */
  readonly funnels: { readonly all: number; readonly judged: number };
  /** Streams of replicas without a length or chunks, and how many of them ended within an event. */
  readonly unframedStreams: { readonly all: number; readonly broken: number };
  /** Faulty answers that replicas have sent, and sends that could have met a second answer to an earlier send. */
  readonly answerFaults: Pick<
    RunLog,
    'spoiledStatuses' | 'cutHeads' | 'secondAnswers' | 'sendsAfterSecondAnswers'
  > & { readonly endlessAnswers: number };
  /** How often callers could begin streams and take them up. */
  readonly streams: StreamCounts;
  /** Requests that stops of gateways have met. */
  readonly stops: StopCounts;
  /** Requests that silences of replicas have met. */
  readonly silences: SilenceCounts & { readonly lateRefusals: number };
  /** How callers were served while gateways were partitioned from all replicas. */
  readonly partitions: readonly PartitionReport[];
  /** The crowds of callers that did not behave. */
  readonly crowds: readonly CrowdRecord[];
  /** Which signals came to processes that did not handle them yet. */
  readonly signalsAtStart: SignalsAtStart;
}

/** Returns the folder for the settings and logs of one soak test. */
export function soakFolder(seed: number): string {
  return path.join('results', `soak-${seed}`);
}
