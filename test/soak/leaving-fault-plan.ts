/**
 * Plans departures of replicas. They use a separate generator, so that existing seeds still produce the same
 * other faults. Pure functions.
 */
import type { SeededRandom } from './seeded-random.js';

/** How replicas leave. */
export interface Departure {
  /** Whether replicas announce their departure; otherwise only their registry entry disappears. */
  readonly isAnnounced: boolean;
  /** Time for which replicas continue to serve after the departure begins. */
  readonly serveMs: number;
}

/** A departure of one or more replicas. */
export type LeavingFault = Departure &
  (
    | { readonly kind: 'released'; readonly count: number; readonly gapMs: number }
    /** A share of all replicas leaves at the same time. */
    | { readonly kind: 'withdrawn'; readonly share: number }
    /** Two replicas of different services leave, and each restarts at the address of the other. */
    | { readonly kind: 'addresses_swapped' }
    /** Replicas leave while a gateway is frozen, shortly before it resumes. */
    | { readonly kind: 'left_during_standstill'; readonly count: number; readonly frozenMs: number }
    /** Replicas leave while a gateway is partitioned from the other gateways. */
    | { readonly kind: 'left_during_cut'; readonly count: number; readonly cutMs: number }
  );

/** A fault and its start time, in milliseconds after the start of the fault phase. */
export interface PlannedLeavingFault {
  readonly at: number;
  readonly fault: LeavingFault;
}

/** All kinds of departures. */
export const LEAVING_FAULT_KINDS: readonly LeavingFault['kind'][] = [
  'released',
  'withdrawn',
  'addresses_swapped',
  'left_during_standstill',
  'left_during_cut',
];

const MIN_GAP_MS = 1_000;
const MAX_GAP_MS = 4_000;
const MIN_SERVICE_MS = 2_500;
/** Upper bound of the time for which a leaving replica continues to serve. */
export const MAX_SERVICE_MS = 12_000;

/** Plans departures that start within the given number of milliseconds. */
export function planLeavingFaults(
  random: SeededRandom,
  milliseconds: number,
): PlannedLeavingFault[] {
  const plan: PlannedLeavingFault[] = [];
  let at = 0;
  for (;;) {
    at += random.between(MIN_GAP_MS, MAX_GAP_MS);
    if (at >= milliseconds) return plan;
    plan.push({ at, fault: drawFault(random) });
  }
}

function drawFault(random: SeededRandom): LeavingFault {
  const departure = {
    isAnnounced: random.chance(0.5),
    serveMs: random.between(MIN_SERVICE_MS, MAX_SERVICE_MS),
  };
  const count = Math.ceil(random.between(0, 4));
  const milliseconds = random.between(1_500, 5_000);
  const draws: readonly (() => LeavingFault)[] = [
    () => ({ kind: 'released', count, gapMs: random.between(100, 1_000), ...departure }),
    () => ({ kind: 'withdrawn', share: random.between(0.1, 0.4), ...departure }),
    () => ({ kind: 'addresses_swapped', ...departure }),
    () => ({ kind: 'left_during_standstill', count, frozenMs: milliseconds, ...departure }),
    () => ({ kind: 'left_during_cut', count, cutMs: milliseconds, ...departure }),
  ];
  const draw = random.pick(draws);
  return draw === undefined ? { kind: 'addresses_swapped', ...departure } : draw();
}
