/* Guards against exceeding a tenant limit when the holder of a group of 2 to 5 daemons is partitioned and daemons restart. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { SimulatedLimits } from './simulated-limits.js';
import { maxUnitsInWindow, LIMIT, warmGroup } from './small-group.js';

const LOWERED = { ...LIMIT, perSecond: 200, burst: 200 } as const;
const OVERLOAD_FACTOR = 4;
/** Times that membership takes to detect the partition. */
const DETECTED_BY_OTHERS_MS = 1_600;
const DETECTED_BY_HOLDER_MS = 2_900;
const GROUP_SIZES = [2, 3, 5];
const OVERLOAD_SECONDS = [0, 1, 6];
const SEEDS = [1, 2, 3, 4];

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

function partitionHolder(group: SimulatedLimits): void {
  group.partition([group.holder()], DETECTED_BY_OTHERS_MS, DETECTED_BY_HOLDER_MS);
}

/** Further events at the time of the partition. */
const FURTHER_EVENTS: readonly [string, (group: SimulatedLimits) => void][] = [
  ['nothing else', () => {}],
  ['the holder restarts 0.8 s later', (group) => restartLater(group, group.holder(), 800)],
  ['another daemon restarts 0.8 s later', (group) => restartLater(group, other(group), 800)],
  ['another daemon restarts at the same time', (group) => group.restart(other(group))],
];

function restartLater(group: SimulatedLimits, index: number, afterMs: number): void {
  setTimeout(() => group.restart(index), afterMs);
}

/** Returns a daemon that is not the holder; it may be a voter. */
function other(group: SimulatedLimits): number {
  return group.holder() === 0 ? 1 : 0;
}

async function warmUp(
  daemons: number,
  seed: number,
  overloadSeconds: number,
): Promise<SimulatedLimits> {
  const group = await warmGroup(daemons, seed);
  await group.simulate({
    seconds: overloadSeconds,
    unitsPerSecond: LIMIT.perSecond * OVERLOAD_FACTOR,
  });
  return group;
}

describe.each(GROUP_SIZES)('in a group of %i whose holder is partitioned from it', (daemons) => {
  describe.each(OVERLOAD_SECONDS)('after %d s of overload', (overloadSeconds) => {
    it.each(FURTHER_EVENTS)(
      'the limit holds over both sides together: %s',
      async (_, triggerEvent) => {
        for (const seed of SEEDS) {
          const group = await warmUp(daemons, seed, overloadSeconds);
          triggerEvent(group);
          partitionHolder(group);
          await group.simulate({ seconds: 10, unitsPerSecond: LIMIT.perSecond * OVERLOAD_FACTOR });
          expect(group.outcome().maxInWindow, `seed ${seed}`).toBeLessThanOrEqual(
            maxUnitsInWindow(LIMIT),
          );
        }
      },
    );

    it('a limit lowered at the time of the partition holds after one window', async () => {
      for (const seed of SEEDS) {
        const group = await warmUp(daemons, seed, overloadSeconds);
        partitionHolder(group);
        group.limit = LOWERED;
        await group.simulate({ seconds: 4, unitsPerSecond: LIMIT.perSecond * OVERLOAD_FACTOR });
        group.resetMaxInWindow();
        await group.simulate({ seconds: 8, unitsPerSecond: LIMIT.perSecond * OVERLOAD_FACTOR });
        expect(group.outcome().maxInWindow, `seed ${seed}`).toBeLessThanOrEqual(
          maxUnitsInWindow(LOWERED),
        );
      }
    });
  });
});
