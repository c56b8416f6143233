/** Failures of the daemon that counts under a limit, or around it. */
import type { SimulatedLimits } from './simulated-limits.js';

/** As membership takes: the others probe the one that is cut off at once, it probes them in turn. */
const SEEN_BY_OTHERS_MS = 1_600;
const SEEN_BY_ITSELF_MS = 2_900;

function others(limits: SimulatedLimits): number[] {
  return [...Array(limits.size).keys()].filter((index) => index !== limits.holder());
}

/** What happens, and how it is played. */
export type HolderFailure = readonly [string, (limits: SimulatedLimits) => void];

/** One failure each, of the daemon that holds the count or around it. */
const FAILURES: readonly HolderFailure[] = [
  [
    'is cut off',
    (limits) => limits.cutOff([limits.holder()], SEEN_BY_OTHERS_MS, SEEN_BY_ITSELF_MS),
  ],
  [
    'is in the lesser part of a group split in two',
    (limits) => {
      const [first = 0] = others(limits);
      limits.cutOff([limits.holder(), first], SEEN_BY_OTHERS_MS, SEEN_BY_OTHERS_MS);
    },
  ],
  [
    'goes on while another is cut off',
    (limits) => limits.cutOff(others(limits).slice(0, 1), SEEN_BY_OTHERS_MS, SEEN_BY_ITSELF_MS),
  ],
  [
    'stands still, is replaced and goes on',
    (limits) => {
      const holder = limits.holder();
      limits.freeze(holder, SEEN_BY_OTHERS_MS, 3_000);
      setTimeout(() => limits.seeAgain(holder), 3_100);
    },
  ],
  [
    'stands still for a moment that nobody sees',
    (limits) => limits.freeze(limits.holder(), SEEN_BY_OTHERS_MS * 10, 1_400),
  ],
  ['starts again and remembers nothing', (limits) => limits.restart(limits.holder())],
];

/** All of them. */
export function holderFailures(): readonly HolderFailure[] {
  return FAILURES;
}
