/**
 * Faults that are played only where they are named, drawn from a generator of their own: what earlier seeds
 * draw stays the same. Pure.
 */
import type { SeededRandom } from './seeded-random.js';

/** Who is suspended. */
export type SuspendedGateway = 'owner' | 'counter' | 'any';

/** One fault. */
export type NamedFault =
  /** A request that crashes whatever runs it comes again and again, at any gateway, some times at several at once. */
  | {
      readonly kind: 'poison_request';
      readonly repeats: number;
      readonly atOnce: number;
      readonly gapMs: number;
      /** Replicas that have crashed are back after so long. */
      readonly backMs: number;
    }
  /** Replicas leave and say so in their answers; their entries say so later, or not at all before they end. */
  | {
      readonly kind: 'answers_tell_leaving';
      readonly count: number;
      readonly serveMs: number;
      /** Infinite for an entry that only goes. */
      readonly listedAfterMs: number;
    }
  /** Replicas turn requests away for a time, and ask whoever sent them for rest. */
  | {
      readonly kind: 'backend_asks_rest';
      readonly share: number;
      readonly milliseconds: number;
      readonly restSeconds: number;
    }
  /** Replicas name rate limits in their answers, which change some times and end; some replicas restart, some gateways are cut off. */
  | {
      readonly kind: 'backend_names_limit';
      readonly share: number;
      /** Requests a second, one after the other, each for a time. */
      readonly limits: readonly number[];
      readonly eachMs: number;
      /** Some replica crashes meanwhile, and some gateway is cut off for so long; 0 for neither. */
      readonly crashAfterMs: number;
      readonly cutMs: number;
    }
  /** The store is away for a moment and comes back from a copy; what the operator and the replicas wrote since is written again. */
  | {
      readonly kind: 'store_restored';
      /** Age of the copy. */
      readonly copyMs: number;
      readonly awayMs: number;
      /** From its return until what was lost is written again. */
      readonly rewrittenAfterMs: number;
      /** Writes that nobody follows and that are lost: the counter does not pass the old one soon. */
      readonly lostWrites: number;
      /** Writes that nobody follows raise the counter past the places that gateways hold. */
      readonly otherWrites: number;
      /** A replica begins to leave, and a configuration is accepted, this long after its return. */
      readonly changesAfterMs: number;
      /** The owner of a service is cut off meanwhile; 0 for none. */
      readonly cutMs: number;
    }
  /** Some gateways are cut off, each from all others, and gateways join these others. */
  | {
      readonly kind: 'joined_during_cut';
      /** Whoever counts the limited tenant is among those that are cut off. */
      readonly cutsCounter: boolean;
      readonly cutCount: number;
      readonly cutMs: number;
      readonly joiners: number;
      readonly joinAfterMs: number;
    }
  /** A gateway stands still, and its steady clock with it. */
  | {
      readonly kind: 'suspended';
      readonly who: SuspendedGateway;
      readonly milliseconds: number;
      /** Other gateways cannot tell it what has happened for so long after it has woken. */
      readonly cutMs: number;
    };

/** A fault and its time after the start of the faults, in milliseconds. */
export interface PlannedNamedFault {
  readonly at: number;
  readonly fault: NamedFault;
}

/** All kinds. */
export const NAMED_FAULT_KINDS: readonly NamedFault['kind'][] = [
  'poison_request',
  'answers_tell_leaving',
  'backend_asks_rest',
  'backend_names_limit',
  'store_restored',
  'suspended',
  'joined_during_cut',
];

/** Requests a second. */
const LIMITS = [0, 0.4, 1, 2.5, 8, 30];
const MOST_LIMITS = 3;
const SHORTEST_GAP_MS = 800;
const LONGEST_GAP_MS = 5_000;
/** Owners and counters rest on leases. */
const SUSPENDED: readonly SuspendedGateway[] = ['owner', 'owner', 'counter', 'any'];

/** Faults of some kinds for a time; none if no kind is named. */
export function planNamedFaults(
  random: SeededRandom,
  milliseconds: number,
  kinds: readonly NamedFault['kind'][],
): PlannedNamedFault[] {
  const plan: PlannedNamedFault[] = [];
  let at = 0;
  for (;;) {
    at += random.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
    const kind = random.pick(kinds);
    if (at >= milliseconds || kind === undefined) return plan;
    plan.push({ at, fault: drawFault(random, kind) });
  }
}

function drawFault(random: SeededRandom, kind: NamedFault['kind']): NamedFault {
  switch (kind) {
    case 'poison_request':
      return {
        kind,
        repeats: Math.ceil(random.between(6, 24)),
        atOnce: random.chance(0.5) ? 1 : Math.ceil(random.between(1, 4)),
        gapMs: random.between(50, 900),
        backMs: random.between(500, 3_000),
      };
    case 'answers_tell_leaving':
      return {
        kind,
        count: Math.ceil(random.between(0, 3)),
        serveMs: random.between(3_000, 10_000),
        listedAfterMs: random.chance(0.5) ? Infinity : random.between(500, 6_000),
      };
    case 'backend_asks_rest':
      return {
        kind,
        share: random.between(0.2, 1),
        milliseconds: random.between(500, 6_000),
        restSeconds: random.between(0.7, 4),
      };
    case 'backend_names_limit':
      return {
        kind,
        share: random.between(0.2, 1),
        limits: drawLimits(random),
        eachMs: random.between(4_000, 12_000),
        crashAfterMs: random.chance(0.3) ? random.between(500, 5_000) : 0,
        cutMs: random.chance(0.4) ? random.between(500, 4_000) : 0,
      };
    case 'store_restored':
      return {
        kind,
        copyMs: random.between(500, 4_000),
        awayMs: random.between(200, 2_500),
        rewrittenAfterMs: random.between(0, 2_000),
        lostWrites: Math.ceil(random.between(0, 400)),
        otherWrites: random.chance(0.7) ? 0 : Math.ceil(random.between(10, 400)),
        changesAfterMs: random.between(0, 4_000),
        cutMs: random.chance(0.4) ? random.between(1_000, 5_000) : 0,
      };
    case 'joined_during_cut':
      return {
        kind,
        cutsCounter: random.chance(0.5),
        cutCount: Math.ceil(random.between(0, 2)),
        cutMs: random.between(5_000, 14_000),
        joiners: Math.ceil(random.between(2, 8)),
        joinAfterMs: random.between(200, 4_000),
      };
    case 'suspended':
      return {
        kind,
        who: random.pick(SUSPENDED) ?? 'any',
        milliseconds: random.between(1_000, 7_500),
        cutMs: random.chance(0.6) ? random.between(500, 2_500) : 0,
      };
  }
}

function drawLimits(random: SeededRandom): number[] {
  const count = Math.ceil(random.between(0, MOST_LIMITS));
  return Array.from({ length: count }, () => random.pick(LIMITS) ?? 1);
}
