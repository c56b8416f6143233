/** Plans the faults of a soak test and their times from a seeded generator. Faults may overlap. Pure functions. */
import type { StoreCondition } from './object-store-stand-in.js';
import type { ReplicaCondition } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';

/** A fault of the basic kinds. */
export type Fault =
  | { readonly kind: 'gateway_killed'; readonly count: number }
  | { readonly kind: 'gateway_frozen'; readonly milliseconds: number }
  | { readonly kind: 'gateway_stopped' }
  | {
      readonly kind: 'store';
      readonly condition: StoreCondition;
      readonly milliseconds: number;
    }
  | { readonly kind: 'store_compacted' }
  | { readonly kind: 'replica_crashed'; readonly milliseconds: number }
  | { readonly kind: 'replica_left' }
  | {
      readonly kind: 'replica';
      readonly condition: ReplicaCondition;
      readonly milliseconds: number;
    }
  | { readonly kind: 'configuration_changed' };

/** A fault and its start time, in milliseconds after the start of the fault phase. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: Fault;
}

const STORE_CONDITIONS: readonly StoreCondition[] = [
  'busy',
  'silent',
  'reset',
  'slow',
  'answers_lost',
];
const REPLICA_CONDITIONS: readonly ReplicaCondition[] = [
  'resets_all',
  'hangs',
  'slow',
  'answers_lost',
  'orders_late',
  'fails_some',
];
const MIN_GAP_MS = 200;
const MAX_GAP_MS = 1_500;

/** Plans faults that start within the given number of milliseconds. */
export function planFaults(random: SeededRandom, milliseconds: number): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let at = 0;
  for (;;) {
    at += random.between(MIN_GAP_MS, MAX_GAP_MS);
    if (at >= milliseconds) return plan;
    plan.push({ at, fault: drawFault(random) });
  }
}

function drawFault(random: SeededRandom): Fault {
  const milliseconds = random.between(500, 4_000);
  const draws: readonly (() => Fault)[] = [
    () => ({ kind: 'gateway_killed', count: 1 }),
    () => ({ kind: 'gateway_killed', count: 2 }),
    () => ({ kind: 'gateway_frozen', milliseconds }),
    () => ({ kind: 'gateway_stopped' }),
    () => ({ kind: 'store', condition: random.pick(STORE_CONDITIONS) ?? 'busy', milliseconds }),
    () => ({ kind: 'store_compacted' }),
    () => ({ kind: 'replica_crashed', milliseconds }),
    () => ({ kind: 'replica_left' }),
    () => ({ kind: 'replica', condition: random.pick(REPLICA_CONDITIONS) ?? 'slow', milliseconds }),
    () => ({ kind: 'replica', condition: random.pick(REPLICA_CONDITIONS) ?? 'slow', milliseconds }),
    () => ({ kind: 'configuration_changed' }),
  ];
  return (random.pick(draws) ?? (() => ({ kind: 'store_compacted' }) as const))();
}
