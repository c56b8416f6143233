/** The policies that the experiments compare: baselines, shipped ones, and the bound. */
import type { PriorityClass } from '../core/documents.js';
import { AdaptiveKeepAlive, type KeepAliveWeights } from '../core/keep-alive-adaptive.js';
import { FixedKeepAlive } from '../core/keep-alive-fixed.js';
import { CacheAwarePlacement } from '../core/placement-cache-aware.js';
import { MostFreePlacement } from '../core/placement-most-free.js';
import { ClairvoyantKeepAlive } from './keep-alive-clairvoyant.js';
import { Simulation, type DayResult, type SimulationPolicy } from './simulation.js';
import type { Workload } from './workload.js';

/** Stays of the fixed baseline, in seconds. */
export const FIXED_STAYS = [15, 60, 120, 300, 600, 1_200, 3_600, 7_200] as const;
/** Factors on the users' worth of a cold start, along the curve between the two measures. */
export const WORTH_FACTORS = [0.1, 0.25, 0.5, 1, 2, 4, 10] as const;
/** The longest stay that the adaptive policy may choose, in milliseconds. */
const LONGEST_STAY_MS = 4 * 3_600_000;

/** Groups of the comparison. */
export type PolicyGroup = 'never-unload' | 'fixed' | 'adaptive' | 'clairvoyant' | 'variant';

/** One line of the comparison. */
export interface ComparedDay {
  readonly group: PolicyGroup;
  readonly parameter: number;
  readonly result: DayResult;
}

const COMMON = {
  placement: new CacheAwarePlacement(),
  loadOrder: 'urgency',
  storeShare: 'divided',
} as const;

function weightsOf(workload: Workload, factor: number): KeepAliveWeights {
  const worth = (priority: PriorityClass): number =>
    workload.worthSeconds[priority] * 1000 * factor;
  return {
    coldStartWorthMs: {
      live: worth('live'),
      interactive: worth('interactive'),
      batch: worth('batch'),
    },
  };
}

function fixedPolicy(seconds: number): SimulationPolicy {
  const setting = { policy: 'fixed', idleMs: seconds * 1000 } as const;
  return { ...COMMON, name: `fixed ${seconds} s`, keepAlive: new FixedKeepAlive(), setting };
}

/** The shipped policy with the users' weights, times a factor. */
export function adaptivePolicy(workload: Workload, factor: number): SimulationPolicy {
  const keepAlive = new AdaptiveKeepAlive(weightsOf(workload, factor));
  const setting = { policy: 'adaptive', idleMs: LONGEST_STAY_MS } as const;
  return { ...COMMON, name: `adaptive x${factor}`, keepAlive, setting };
}

function runClairvoyant(workload: Workload, factor: number): DayResult {
  const keepAlive = new ClairvoyantKeepAlive(workload, weightsOf(workload, factor));
  const setting = { policy: 'adaptive', idleMs: LONGEST_STAY_MS } as const;
  const policy = { ...COMMON, name: `clairvoyant x${factor}`, keepAlive, setting };
  const simulation = new Simulation(workload, policy);
  keepAlive.clock = () => simulation.time;
  return simulation.run();
}

/** Runs all policies on one workload, on the same seed. */
export function comparePolicies(workload: Workload): ComparedDay[] {
  const run = (policy: SimulationPolicy): DayResult => new Simulation(workload, policy).run();
  const never: SimulationPolicy = {
    ...COMMON,
    name: 'never unload',
    keepAlive: new FixedKeepAlive(),
    setting: { policy: 'fixed', idleMs: Infinity },
  };
  const shipped = adaptivePolicy(workload, 1);
  const variants: SimulationPolicy[] = [
    {
      ...adaptivePolicy(workload, 1),
      name: 'placement without caches',
      placement: new MostFreePlacement(),
    },
    { ...adaptivePolicy(workload, 1), name: 'loads in order of arrival', loadOrder: 'arrival' },
    { ...adaptivePolicy(workload, 1), name: 'weight store shared', storeShare: 'shared' },
  ];
  return [
    { group: 'never-unload', parameter: Infinity, result: run(never) },
    ...FIXED_STAYS.map((seconds): ComparedDay => {
      return { group: 'fixed', parameter: seconds, result: run(fixedPolicy(seconds)) };
    }),
    ...WORTH_FACTORS.map((factor): ComparedDay => {
      const policy = factor === 1 ? shipped : adaptivePolicy(workload, factor);
      return { group: 'adaptive', parameter: factor, result: run(policy) };
    }),
    ...WORTH_FACTORS.map((factor): ComparedDay => {
      return { group: 'clairvoyant', parameter: factor, result: runClairvoyant(workload, factor) };
    }),
    ...variants.map((policy): ComparedDay => {
      return { group: 'variant', parameter: 1, result: run(policy) };
    }),
  ];
}
