/** Failures of the daemon that holds the count of a limit, and of daemons near it. */
import type { SimulatedLimits } from './simulated-limits.js';

/** Times that membership takes: the others all probe the partitioned daemon, which probes them one after another. */
const DETECTED_BY_OTHERS_MS = 1_600;
const DETECTED_BY_ITSELF_MS = 2_900;

function others(limits: SimulatedLimits): number[] {
  return [...Array(limits.size).keys()].filter((index) => index !== limits.holder());
}

/** The end of a test title, and a function that triggers the failure. */
export type HolderFailure = readonly [string, (limits: SimulatedLimits) => void];

const FAILURES: readonly HolderFailure[] = [
  [
    'is partitioned from the group',
    (limits) => limits.partition([limits.holder()], DETECTED_BY_OTHERS_MS, DETECTED_BY_ITSELF_MS),
  ],
  [
    'is in the smaller part of a partitioned group',
    (limits) => {
      const [first = 0] = others(limits);
      limits.partition([limits.holder(), first], DETECTED_BY_OTHERS_MS, DETECTED_BY_OTHERS_MS);
    },
  ],
  [
    'continues while another daemon is partitioned',
    (limits) =>
      limits.partition(others(limits).slice(0, 1), DETECTED_BY_OTHERS_MS, DETECTED_BY_ITSELF_MS),
  ],
  [
    'freezes, is replaced and resumes',
    (limits) => {
      const holder = limits.holder();
      limits.freeze(holder, DETECTED_BY_OTHERS_MS, 3_000);
      setTimeout(() => limits.markAlive(holder), 3_100);
    },
  ],
  [
    'freezes for a moment that no daemon detects',
    (limits) => limits.freeze(limits.holder(), DETECTED_BY_OTHERS_MS * 10, 1_400),
  ],
  ['restarts without its state', (limits) => limits.restart(limits.holder())],
];

/** Returns all failures. */
export function holderFailures(): readonly HolderFailure[] {
  return FAILURES;
}
