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

/** Between whom and the gateways open connections go silent. */
export type SilentSide = 'gateways' | 'store' | 'replicas' | 'all';

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
  | { readonly kind: 'owner_stopped' }
  /** Nothing passes between the owner and other gateways; it reaches the store and replicas. */
  | { readonly kind: 'owner_cut_off'; readonly milliseconds: number };

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
const SIDES: readonly SilentSide[] = ['gateways', 'store', 'replicas', 'all'];
/** The kinds that are drawn, each as often as it stands here. */
export const FURTHER_FAULT_KINDS: readonly FurtherFault['kind'][] = [
  'connections_silent',
  'store_turns_away',
  'configuration_storm',
  'configuration_storm',
  'rolling_stop',
  'settings_changed',
  'owner_killed',
  'owner_frozen',
  'owner_stopped',
  'owner_cut_off',
];
/** Storms of versions at the end of an outage, among all. */
const OUTAGE_SHARE = 0.6;
const SHORTEST_GAP_MS = 500;
const LONGEST_GAP_MS = 4_500;
/** Faults after which nothing happens for a time. */
const QUIET_SHARE = 0.4;
const QUIET_MS = 4_000;

/** Further faults for a time; only of some kinds if these are named. */
export function planFurtherFaults(
  random: SeededRandom,
  milliseconds: number,
  only: readonly FurtherFault['kind'][] = [],
): PlannedFurtherFault[] {
  const plan: PlannedFurtherFault[] = [];
  let at = random.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
  while (at < milliseconds) {
    const fault = drawWanted(random, only);
    plan.push({ at, fault });
    at += random.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
    // The bounds bind gateways again only after some time without any fault.
    if (random.chance(QUIET_SHARE)) at += lastsMs(fault) + QUIET_MS;
  }
  return plan;
}

function drawWanted(random: SeededRandom, only: readonly FurtherFault['kind'][]): FurtherFault {
  for (;;) {
    const fault = drawFault(random);
    if (only.length === 0 || only.includes(fault.kind)) return fault;
  }
}

function lastsMs(fault: FurtherFault): number {
  switch (fault.kind) {
    case 'configuration_storm':
      return (fault.outage?.milliseconds ?? 0) + fault.versions * fault.gapMs;
    case 'store_turns_away':
    case 'owner_frozen':
    case 'owner_cut_off':
      return fault.milliseconds;
    case 'owner_killed':
      return fault.times * fault.gapMs;
    default:
      return 0;
  }
}

function drawFault(random: SeededRandom): FurtherFault {
  const milliseconds = random.between(1_000, 6_000);
  const kind = random.pick(FURTHER_FAULT_KINDS) ?? 'settings_changed';
  switch (kind) {
    case 'connections_silent': {
      const share = random.chance(0.5) ? 1 : random.between(0.2, 0.8);
      return { kind, side: random.pick(SIDES) ?? 'all', share };
    }
    case 'store_turns_away': {
      const condition = random.pick(TURNED_AWAY) ?? 'busy';
      return { kind, condition, share: random.between(0.2, 0.8), milliseconds };
    }
    case 'configuration_storm':
      return drawStorm(random);
    case 'rolling_stop':
      return { kind, gapMs: random.between(300, 3_000) };
    case 'owner_killed':
      return { kind, times: Math.ceil(random.between(0, 3)), gapMs: random.between(200, 2_500) };
    case 'owner_frozen':
    case 'owner_cut_off':
      return { kind, milliseconds };
    default:
      return { kind };
  }
}

function drawStorm(random: SeededRandom): FurtherFault {
  const versions = Math.ceil(random.between(2, 6));
  const gapMs = random.between(50, 600);
  const condition = random.pick(OUTAGES) ?? 'silent';
  const milliseconds = random.between(1_500, 9_000);
  const outage = random.chance(OUTAGE_SHARE) ? { condition, milliseconds } : undefined;
  return { kind: 'configuration_storm', versions, gapMs, outage };
}
