/**
 * Plans further kinds of faults. They use a separate generator, so that existing seeds still produce the same
 * basic faults. Pure functions.
 */
import type { StoreCondition } from './object-store-stand-in.js';
import type { SeededRandom } from './seeded-random.js';

/** How the store treats the gateways that it rejects. */
export type RejectionCondition = Extract<StoreCondition, 'busy' | 'throttled' | 'reset' | 'silent'>;

/** Peers of the gateways whose open connections become silent. */
export type SilentPeers = 'gateways' | 'store' | 'replicas' | 'all';

/** A fault of the further kinds. */
export type FurtherFault =
  /** A share of the open connections passes no more data; new connections work. */
  | { readonly kind: 'connections_silent'; readonly side: SilentPeers; readonly share: number }
  /** The store rejects a share of the gateways, and serves the others and the operator. */
  | {
      readonly kind: 'store_turns_away';
      readonly condition: RejectionCondition;
      readonly share: number;
      readonly milliseconds: number;
    }
  /** Configuration versions in quick succession, sometimes directly after a store outage. */
  | {
      readonly kind: 'configuration_storm';
      readonly versions: number;
      readonly gapMs: number;
      readonly outage: StoreOutage | undefined;
    }
  /** All gateways are stopped one after the other. */
  | { readonly kind: 'rolling_stop'; readonly gapMs: number }
  /** All gateways receive the signal to reload their settings. */
  | { readonly kind: 'settings_changed' }
  /** The current owner of the models is killed, up to three times in a row. */
  | { readonly kind: 'owner_killed'; readonly times: number; readonly gapMs: number }
  | { readonly kind: 'owner_frozen'; readonly milliseconds: number }
  | { readonly kind: 'owner_stopped' }
  /** The owner is partitioned from the other gateways, but still reaches the store and the replicas. */
  | { readonly kind: 'owner_cut_off'; readonly milliseconds: number };

/** A period in which the store serves no client. */
export interface StoreOutage {
  readonly condition: StoreCondition;
  readonly milliseconds: number;
}

/** A further fault and its start time, in milliseconds after the start of the fault phase. */
export interface PlannedFurtherFault {
  readonly at: number;
  readonly fault: FurtherFault;
}

const REJECTION_CONDITIONS: readonly RejectionCondition[] = [
  'busy',
  'throttled',
  'reset',
  'silent',
];
const OUTAGE_CONDITIONS: readonly StoreCondition[] = ['silent', 'silent', 'busy', 'reset'];
const SIDES: readonly SilentPeers[] = ['gateways', 'store', 'replicas', 'all'];
/** Fault kinds to draw from. A kind that is listed twice is drawn twice as often. */
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
/** Share of configuration storms that directly follow a store outage. */
const OUTAGE_SHARE = 0.6;
const MIN_GAP_MS = 500;
const MAX_GAP_MS = 4_500;
/** Share of faults that are followed by a quiet period. */
const QUIET_SHARE = 0.4;
const QUIET_MS = 4_000;

/** Plans further faults that start within the given number of milliseconds; an empty `only` allows all kinds. */
export function planFurtherFaults(
  random: SeededRandom,
  milliseconds: number,
  only: readonly FurtherFault['kind'][] = [],
): PlannedFurtherFault[] {
  const plan: PlannedFurtherFault[] = [];
  let at = random.between(MIN_GAP_MS, MAX_GAP_MS);
  while (at < milliseconds) {
    const fault = drawAllowedFault(random, only);
    plan.push({ at, fault });
    at += random.between(MIN_GAP_MS, MAX_GAP_MS);
    // Gateways are held to their time bounds only after a period without faults.
    if (random.chance(QUIET_SHARE)) at += durationMs(fault) + QUIET_MS;
  }
  return plan;
}

function drawAllowedFault(
  random: SeededRandom,
  only: readonly FurtherFault['kind'][],
): FurtherFault {
  for (;;) {
    const fault = drawFault(random);
    if (only.length === 0 || only.includes(fault.kind)) return fault;
  }
}

function durationMs(fault: FurtherFault): number {
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
      const condition = random.pick(REJECTION_CONDITIONS) ?? 'busy';
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
  const condition = random.pick(OUTAGE_CONDITIONS) ?? 'silent';
  const milliseconds = random.between(1_500, 9_000);
  const outage = random.chance(OUTAGE_SHARE) ? { condition, milliseconds } : undefined;
  return { kind: 'configuration_storm', versions, gapMs, outage };
}
