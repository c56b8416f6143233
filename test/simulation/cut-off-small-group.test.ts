import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { SimulatedLimits } from './simulated-limits.js';
import { boundOf, LIMIT, warmGroup } from './small-group.js';

const LOWERED = { ...LIMIT, perSecond: 200, burst: 200 } as const;
const HOT = 4;
/** As membership takes. */
const SEEN_BY_OTHERS_MS = 1_600;
const SEEN_BY_ITSELF_MS = 2_900;
const GROUP_SIZES = [2, 3, 5];
const HOT_SECONDS = [0, 1, 6];
const SEEDS = [1, 2, 3, 4];

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

function cutHolder(group: SimulatedLimits): void {
  group.cutOff([group.holder()], SEEN_BY_OTHERS_MS, SEEN_BY_ITSELF_MS);
}

/** What happens beside the cut of the holder. */
const BESIDE: readonly [string, (group: SimulatedLimits) => void][] = [
  ['nothing else', () => {}],
  ['the holder starts again 0.8 s later', (group) => restartLater(group, group.holder(), 800)],
  ['another daemon starts again 0.8 s later', (group) => restartLater(group, other(group), 800)],
  ['another daemon starts again at the same time', (group) => group.restart(other(group))],
];

function restartLater(group: SimulatedLimits, index: number, afterMs: number): void {
  setTimeout(() => group.restart(index), afterMs);
}

/** A daemon that is not the holder; it may be a keeper. */
function other(group: SimulatedLimits): number {
  return group.holder() === 0 ? 1 : 0;
}

async function warmUp(daemons: number, seed: number, hotSeconds: number): Promise<SimulatedLimits> {
  const group = await warmGroup(daemons, seed);
  await group.play({ seconds: hotSeconds, unitsPerSecond: LIMIT.perSecond * HOT });
  return group;
}

describe.each(GROUP_SIZES)('in a group of %i whose holder is cut off', (daemons) => {
  describe.each(HOT_SECONDS)('with the tenant hot for %d s before', (hotSeconds) => {
    it.each(BESIDE)('the limit holds on both sides together: %s', async (_, happens) => {
      for (const seed of SEEDS) {
        const group = await warmUp(daemons, seed, hotSeconds);
        happens(group);
        cutHolder(group);
        await group.play({ seconds: 10, unitsPerSecond: LIMIT.perSecond * HOT });
        expect(group.outcome().mostInWindow, `seed ${seed}`).toBeLessThanOrEqual(boundOf(LIMIT));
      }
    });

    it('a limit that is lowered at that moment holds after a window', async () => {
      for (const seed of SEEDS) {
        const group = await warmUp(daemons, seed, hotSeconds);
        cutHolder(group);
        group.limit = LOWERED;
        await group.play({ seconds: 4, unitsPerSecond: LIMIT.perSecond * HOT });
        group.countFromNow();
        await group.play({ seconds: 8, unitsPerSecond: LIMIT.perSecond * HOT });
        expect(group.outcome().mostInWindow, `seed ${seed}`).toBeLessThanOrEqual(boundOf(LOWERED));
      }
    });
  });
});
