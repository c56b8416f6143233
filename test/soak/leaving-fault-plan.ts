/**
 * Ways in which replicas leave, drawn from a generator of their own: what earlier seeds draw
 * stays the same. Pure.
 */
import type { SeededRandom } from './seeded-random.js';

/** How replicas leave. */
export interface Departure {
  /** They say that they leave; else only their entry goes. */
  readonly isAnnounced: boolean;
  /** They serve on for so long. */
  readonly serveMs: number;
}

/** One fault. */
export type LeavingFault = Departure &
  (
    | { readonly kind: 'released'; readonly count: number; readonly gapMs: number }
    /** A share of all replicas, at the same moment. */
    | { readonly kind: 'withdrawn'; readonly share: number }
    /** Two of different services, each of which comes back at the address of the other. */
    | { readonly kind: 'addresses_swapped' }
    /** Some leave while a gateway stands still, shortly before it goes on. */
    | { readonly kind: 'left_during_standstill'; readonly count: number; readonly frozenMs: number }
    /** Some leave while nothing passes between a gateway and the others. */
    | { readonly kind: 'left_during_cut'; readonly count: number; readonly cutMs: number }
  );

/** A fault and its time after the start of the faults, in milliseconds. */
export interface PlannedLeavingFault {
  readonly at: number;
  readonly fault: LeavingFault;
}

/** All kinds. */
export const LEAVING_FAULT_KINDS: readonly LeavingFault['kind'][] = [
  'released',
  'withdrawn',
  'addresses_swapped',
  'left_during_standstill',
  'left_during_cut',
];

const SHORTEST_GAP_MS = 1_000;
const LONGEST_GAP_MS = 4_000;
const SHORTEST_SERVICE_MS = 2_500;
/** No replica that leaves serves on for longer. */
export const LONGEST_SERVICE_MS = 12_000;

/** Faults for a time. */
export function planLeavingFaults(
  random: SeededRandom,
  milliseconds: number,
): PlannedLeavingFault[] {
  const plan: PlannedLeavingFault[] = [];
  let at = 0;
  for (;;) {
    at += random.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
    if (at >= milliseconds) return plan;
    plan.push({ at, fault: drawFault(random) });
  }
}

function drawFault(random: SeededRandom): LeavingFault {
  const departure = {
    isAnnounced: random.chance(0.5),
    serveMs: random.between(SHORTEST_SERVICE_MS, LONGEST_SERVICE_MS),
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
