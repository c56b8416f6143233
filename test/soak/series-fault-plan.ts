/**
 * Signals, restarts and changes that come in series and overlap, drawn from a generator of their own: what
 * earlier seeds draw stays the same. Pure.
 */
import type { SeededRandom } from './seeded-random.js';

/** What is done to the daemon that counts the limited tenant. */
export type CounterHarm = 'cut_off' | 'frozen' | 'killed' | 'stopped';

/** Signals that follow a first one. */
export interface FollowingSignal {
  readonly signal: 'SIGTERM' | 'SIGHUP';
  /** After the signal before it. */
  readonly gapMs: number;
}

/** One fault. */
export type SeriesFault =
  /** A gateway is asked to stop, and told more while it does. */
  | { readonly kind: 'signals_at_stop'; readonly following: readonly FollowingSignal[] }
  /** A gateway is killed, and told that its settings have changed while it starts again. */
  | { readonly kind: 'signals_at_start'; readonly gapsMs: readonly number[] }
  /** Gateways are stopped one after the other while new versions of the configuration come. */
  | {
      readonly kind: 'stops_and_changes';
      readonly stops: number;
      readonly versions: number;
      readonly gapMs: number;
    }
  /** Whoever counts the limited tenant is harmed, and then who counts next. */
  | {
      readonly kind: 'counter_harmed';
      readonly harms: readonly CounterHarm[];
      readonly milliseconds: number;
      readonly gapMs: number;
    }
  /** A share of the gateways is killed at the same moment, and a version comes while they start. */
  | { readonly kind: 'many_killed'; readonly share: number };

/** A fault and its time after the start of the faults, in milliseconds. */
export interface PlannedSeriesFault {
  readonly at: number;
  readonly fault: SeriesFault;
}

/** All kinds. */
export const SERIES_FAULT_KINDS: readonly SeriesFault['kind'][] = [
  'signals_at_stop',
  'signals_at_start',
  'stops_and_changes',
  'counter_harmed',
  'many_killed',
];

const HARMS: readonly CounterHarm[] = ['cut_off', 'cut_off', 'frozen', 'killed', 'stopped'];
const SHORTEST_GAP_MS = 800;
const LONGEST_GAP_MS = 4_500;
/** A start of one process among many takes about as long. */
const START_MS = 700;

/** Faults for a time; only of some kinds if these are named. */
export function planSeriesFaults(
  random: SeededRandom,
  milliseconds: number,
  only: readonly SeriesFault['kind'][] = [],
): PlannedSeriesFault[] {
  const plan: PlannedSeriesFault[] = [];
  const kinds = only.length === 0 ? SERIES_FAULT_KINDS : only;
  let at = 0;
  for (;;) {
    at += random.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
    if (at >= milliseconds) return plan;
    plan.push({ at, fault: drawFault(random, random.pick(kinds) ?? 'many_killed') });
  }
}

function drawFault(random: SeededRandom, kind: SeriesFault['kind']): SeriesFault {
  switch (kind) {
    case 'signals_at_stop': {
      const following = several(random, 4, () => drawFollowing(random));
      return { kind, following };
    }
    case 'signals_at_start':
      return { kind, gapsMs: several(random, 3, () => random.between(0, START_MS)) };
    case 'stops_and_changes': {
      const [stops, versions] = [1, 2].map(() => Math.ceil(random.between(1, 5)));
      return { kind, stops: stops ?? 1, versions: versions ?? 1, gapMs: random.between(80, 900) };
    }
    case 'counter_harmed': {
      const harms = several(random, 2, () => random.pick(HARMS) ?? 'cut_off');
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

/** One to `most` draws. */
function several<Drawn>(random: SeededRandom, most: number, draw: () => Drawn): Drawn[] {
  const count = Math.ceil(random.between(0, most));
  return Array.from({ length: count }, draw);
}
