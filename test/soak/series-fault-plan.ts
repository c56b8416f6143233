/**
 * Plans overlapping series of signals, restarts and configuration changes. They use a separate generator, so that
 * existing seeds still produce the same other faults. Pure functions.
 */
import type { SeededRandom } from './seeded-random.js';

/** Kinds of disturbance of the gateway that counts the limited tenant. */
export type CounterDisturbance = 'cut_off' | 'frozen' | 'killed' | 'stopped';

/** A signal that follows an earlier one. */
export interface FollowingSignal {
  readonly signal: 'SIGTERM' | 'SIGHUP';
  /** Time since the previous signal. */
  readonly gapMs: number;
}

/** A fault that consists of a series of events. */
export type SeriesFault =
  /** A gateway is signaled to stop, and receives further signals while it stops. */
  | { readonly kind: 'signals_at_stop'; readonly following: readonly FollowingSignal[] }
  /** A gateway is killed, and receives signals to reload its settings while it restarts. */
  | { readonly kind: 'signals_at_start'; readonly gapsMs: readonly number[] }
  /** Gateways are stopped one after the other while new configuration versions are published. */
  | {
      readonly kind: 'stops_and_changes';
      readonly stops: number;
      readonly versions: number;
      readonly gapMs: number;
    }
  /** The gateway that counts the limited tenant is disturbed, and then its successor as counter. */
  | {
      readonly kind: 'counter_harmed';
      readonly harms: readonly CounterDisturbance[];
      readonly milliseconds: number;
      readonly gapMs: number;
    }
  /** A share of the gateways is killed at the same time, and a configuration version is published while they restart. */
  | { readonly kind: 'many_killed'; readonly share: number };

/** A fault and its start time, in milliseconds after the start of the fault phase. */
export interface PlannedSeriesFault {
  readonly at: number;
  readonly fault: SeriesFault;
}

/** All kinds of series. */
export const SERIES_FAULT_KINDS: readonly SeriesFault['kind'][] = [
  'signals_at_stop',
  'signals_at_start',
  'stops_and_changes',
  'counter_harmed',
  'many_killed',
];

const COUNTER_DISTURBANCES: readonly CounterDisturbance[] = [
  'cut_off',
  'cut_off',
  'frozen',
  'killed',
  'stopped',
];
const MIN_GAP_MS = 800;
const MAX_GAP_MS = 4_500;
/** Approximate start time of one gateway process while many others run. */
const APPROXIMATE_START_MS = 700;

/** Plans faults that start within the given number of milliseconds; an empty `only` allows all kinds. */
export function planSeriesFaults(
  random: SeededRandom,
  milliseconds: number,
  only: readonly SeriesFault['kind'][] = [],
): PlannedSeriesFault[] {
  const plan: PlannedSeriesFault[] = [];
  const kinds = only.length === 0 ? SERIES_FAULT_KINDS : only;
  let at = 0;
  for (;;) {
    at += random.between(MIN_GAP_MS, MAX_GAP_MS);
    if (at >= milliseconds) return plan;
    plan.push({ at, fault: drawFault(random, random.pick(kinds) ?? 'many_killed') });
  }
}

function drawFault(random: SeededRandom, kind: SeriesFault['kind']): SeriesFault {
  switch (kind) {
    case 'signals_at_stop': {
      const following = drawSeveral(random, 4, () => drawFollowing(random));
      return { kind, following };
    }
    case 'signals_at_start':
      return {
        kind,
        gapsMs: drawSeveral(random, 3, () => random.between(0, APPROXIMATE_START_MS)),
      };
    case 'stops_and_changes': {
      const [stops, versions] = [1, 2].map(() => Math.ceil(random.between(1, 5)));
      return { kind, stops: stops ?? 1, versions: versions ?? 1, gapMs: random.between(80, 900) };
    }
    case 'counter_harmed': {
      const harms = drawSeveral(random, 2, () => random.pick(COUNTER_DISTURBANCES) ?? 'cut_off');
      const gapMs = random.between(200, 2_500);
      return { kind, harms, milliseconds: random.between(800, 5_000), gapMs };
    }
    case 'many_killed':
      return { kind, share: random.between(0.3, 1) };
  }
}

function drawFollowing(random: SeededRandom): FollowingSignal {
  const signal = random.chance(0.6) ? 'SIGTERM' : 'SIGHUP';
  return { signal, gapMs: random.between(10, 900) };
}

/** Returns between one and `maxCount` draws. */
function drawSeveral<Drawn>(random: SeededRandom, maxCount: number, draw: () => Drawn): Drawn[] {
  const count = Math.ceil(random.between(0, maxCount));
  return Array.from({ length: count }, draw);
}
