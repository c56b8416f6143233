/**
 * Further kinds of faults, drawn from a generator of their own: what earlier seeds draw stays
 * the same. Pure.
 */
import type { StoreCondition } from './object-store-stand-in.js';
import type { SeededRandom } from './seeded-random.js';

/** How the store treats those that it turns away. */
export type TurnedAwayCondition = Extract<
  StoreCondition,
  'busy' | 'throttled' | 'reset' | 'silent'
>;

/** Whose open connections go silent. */
export type SilentSide = 'store' | 'replicas' | 'both';

/** One fault of a further kind. */
export type FurtherFault =
  /** A share of the open connections says nothing more; new ones work. */
  | { readonly kind: 'connections_silent'; readonly side: SilentSide; readonly share: number }
  /** The store refuses a share of the gateways, and serves the others and the operator. */
  | {
      readonly kind: 'store_turns_away';
      readonly condition: TurnedAwayCondition;
      readonly share: number;
      readonly milliseconds: number;
    }
  /** Versions that follow each other quickly, on some occasions right after an outage of the store. */
  | {
      readonly kind: 'configuration_storm';
      readonly versions: number;
      readonly gapMs: number;
      readonly outage: StoreOutage | undefined;
    }
  /** All gateways are stopped in turn. */
  | { readonly kind: 'rolling_stop'; readonly gapMs: number }
  /** All gateways are told that their settings have changed. */
  | { readonly kind: 'settings_changed' }
  /** Whoever owns the models is killed, several times in a row. */
  | { readonly kind: 'owner_killed'; readonly times: number; readonly gapMs: number }
  | { readonly kind: 'owner_frozen'; readonly milliseconds: number }
  | { readonly kind: 'owner_stopped' };

/** A time in which the store serves nobody. */
export interface StoreOutage {
  readonly condition: StoreCondition;
  readonly milliseconds: number;
}

/** A further fault and its time after the start of the faults, in milliseconds. */
export interface PlannedFurtherFault {
  readonly at: number;
  readonly fault: FurtherFault;
}

const TURNED_AWAY: readonly TurnedAwayCondition[] = ['busy', 'throttled', 'reset', 'silent'];
const OUTAGES: readonly StoreCondition[] = ['silent', 'silent', 'busy', 'reset'];
const SIDES: readonly SilentSide[] = ['store', 'replicas', 'both'];
const SHORTEST_GAP_MS = 500;
const LONGEST_GAP_MS = 4_500;

/** Further faults for a time. */
export function planFurtherFaults(
  random: SeededRandom,
  milliseconds: number,
): PlannedFurtherFault[] {
  const plan: PlannedFurtherFault[] = [];
  let at = 0;
  for (;;) {
    at += random.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
    if (at >= milliseconds) return plan;
    plan.push({ at, fault: drawFault(random) });
  }
}

function drawFault(random: SeededRandom): FurtherFault {
  const milliseconds = random.between(1_000, 6_000);
  const draws: readonly (() => FurtherFault)[] = [
    () => ({
      kind: 'connections_silent',
      side: random.pick(SIDES) ?? 'both',
      share: random.chance(0.5) ? 1 : random.between(0.2, 0.8),
    }),
    () => ({
      kind: 'store_turns_away',
      condition: random.pick(TURNED_AWAY) ?? 'busy',
      share: random.between(0.2, 0.8),
      milliseconds,
    }),
    () => drawStorm(random, undefined),
    () =>
      drawStorm(random, {
        condition: random.pick(OUTAGES) ?? 'silent',
        milliseconds: random.between(1_500, 9_000),
      }),
    () => ({ kind: 'rolling_stop', gapMs: random.between(300, 3_000) }),
    () => ({ kind: 'settings_changed' }),
    () => ({
      kind: 'owner_killed',
      times: Math.ceil(random.between(0, 3)),
      gapMs: random.between(200, 2_500),
    }),
    () => ({ kind: 'owner_frozen', milliseconds }),
    () => ({ kind: 'owner_stopped' }),
  ];
  return (random.pick(draws) ?? (() => ({ kind: 'settings_changed' }) as const))();
}

function drawStorm(random: SeededRandom, outage: StoreOutage | undefined): FurtherFault {
  const versions = Math.ceil(random.between(2, 6));
  return { kind: 'configuration_storm', versions, gapMs: random.between(50, 600), outage };
}
