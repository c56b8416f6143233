import { describe, expect, it } from 'vitest';
import { BackendDirectory } from '../../../src/core/backend-directory.js';
import { CapacityNews } from '../../../src/core/capacity/capacity-news.js';
import { HeardCapacity } from '../../../src/core/capacity/heard-capacity.js';
import type { LearnedFigures } from '../../../src/core/capacity/learned-capacity.js';
import { updateOf } from '../gateway-fixtures.js';

function figuresOf(
  speeds: Readonly<Record<string, number>>,
  gaps: Readonly<Record<string, number>> = {},
  pauseShares: readonly number[] = [],
): LearnedFigures {
  return {
    speeds: new Map(Object.entries(speeds)),
    gaps: new Map(Object.entries(gaps)),
    pauseShares,
  };
}

describe('CapacityNews', () => {
  it('tells what has changed once, and that a forgotten backend is usual again', () => {
    const news = new CapacityNews();
    expect(news.take(figuresOf({ x: 0.6, y: 2 }))?.speeds.size).toBe(2);
    expect(news.take(figuresOf({ x: 0.6, y: 2 }))).toBeUndefined();
    expect([...(news.take(figuresOf({ y: 2 }))?.speeds ?? [])]).toEqual([['x', 1]]);
    expect([...(news.everything()?.speeds ?? [])]).toEqual([['y', 2]]);
  });
});

describe('HeardCapacity', () => {
  it('puts changes together', () => {
    const heard = new HeardCapacity();
    heard.take(figuresOf({ x: 0.5 }, { m: 100 }), 0);
    heard.take(figuresOf({ y: 2 }), 1_000);
    const view = heard.view(1_000);
    expect([view.speedOf('x'), view.speedOf('y'), view.speedOf('z')]).toEqual([0.5, 2, 1]);
    expect([view.eventGapMs('x', 'm'), view.eventGapMs('x', 'other')]).toEqual([200, undefined]);
    expect(view.pauseRisk('x', 'm', 150)).toBe(1);
    expect(view.pauseRisk('y', 'm', 400)).toBeLessThan(0.1);
  });

  it('keeps the last word of an owner that is lost for a time, and then takes all for alike', () => {
    const heard = new HeardCapacity();
    heard.take(figuresOf({ x: 0.5 }), 0);
    expect(heard.view(15_000).speedOf('x')).toBe(0.5);
    expect(heard.view(15_001).speedOf('x')).toBe(1);
  });

  it('goes by the former owner while a new one learns', () => {
    const former = new HeardCapacity();
    former.take(figuresOf({ x: 0.5 }), 0);
    const heard = new HeardCapacity(former);
    heard.take(undefined, 1_000);
    expect(heard.view(3_999).speedOf('x')).toBe(0.5);
    heard.take(figuresOf({ x: 0.7 }), 4_000);
    expect(heard.view(4_000).speedOf('x')).toBe(0.7);
  });

  it('goes by the former owner still when the new one has to tell everything again', () => {
    const directory = new BackendDirectory();
    const whole = updateOf({ baseVersion: undefined });
    directory.hearPlacement({ ...whole, epoch: 1, capacity: figuresOf({ x: 0.5 }) }, 0);
    directory.hearPlacement({ ...whole, epoch: 2 }, 1_000);
    directory.hearPlacement({ ...whole, epoch: 2, capacity: figuresOf({ y: 2 }) }, 2_000);
    expect(directory.capacityOf('s', 3_999).speedOf('x')).toBe(0.5);
    const view = directory.capacityOf('s', 4_000);
    expect([view.speedOf('x'), view.speedOf('y')]).toEqual([1, 2]);
  });

  it.each([NaN, -1, 0, Infinity, 1e9])('does not believe %d', (value) => {
    const heard = new HeardCapacity();
    heard.take(figuresOf({ x: value }, { m: value }, Array<number>(8).fill(value)), 0);
    const view = heard.view(0);
    expect([view.speedOf('x'), view.eventGapMs('x', 'm')]).toEqual([1, undefined]);
  });
});
