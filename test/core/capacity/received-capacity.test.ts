import { describe, expect, it } from 'vitest';
import { BackendDirectory } from '../../../src/core/backend-directory.js';
import { CapacityChanges } from '../../../src/core/capacity/capacity-changes.js';
import { ReceivedCapacity } from '../../../src/core/capacity/received-capacity.js';
import type { CapacityFigures } from '../../../src/core/capacity/learned-capacity.js';
import { updateOf } from '../gateway-fixtures.js';

function figuresOf(
  speeds: Readonly<Record<string, number>>,
  gaps: Readonly<Record<string, number>> = {},
  pauseShares: readonly number[] = [],
): CapacityFigures {
  return {
    speeds: new Map(Object.entries(speeds)),
    gaps: new Map(Object.entries(gaps)),
    pauseShares,
  };
}

describe('CapacityChanges', () => {
  it('returns each change once, and resets a removed backend to the usual speed', () => {
    const tracker = new CapacityChanges();
    expect(tracker.takeChanges(figuresOf({ x: 0.6, y: 2 }))?.speeds.size).toBe(2);
    expect(tracker.takeChanges(figuresOf({ x: 0.6, y: 2 }))).toBeUndefined();
    expect([...(tracker.takeChanges(figuresOf({ y: 2 }))?.speeds ?? [])]).toEqual([['x', 1]]);
    expect([...(tracker.snapshot()?.speeds ?? [])]).toEqual([['y', 2]]);
  });
});

describe('ReceivedCapacity', () => {
  it('accumulates changes', () => {
    const received = new ReceivedCapacity();
    received.applyUpdate(figuresOf({ x: 0.5 }, { m: 100 }), 0);
    received.applyUpdate(figuresOf({ y: 2 }), 1_000);
    const view = received.view(1_000);
    expect([view.speedOf('x'), view.speedOf('y'), view.speedOf('z')]).toEqual([0.5, 2, 1]);
    expect([view.eventGapMs('x', 'm'), view.eventGapMs('x', 'other')]).toEqual([200, undefined]);
    expect(view.pauseRisk('x', 'm', 150)).toBe(1);
    expect(view.pauseRisk('y', 'm', 400)).toBeLessThan(0.1);
  });

  it('keeps the figures of a lost owner for 15 s and then treats all backends as equal', () => {
    const received = new ReceivedCapacity();
    received.applyUpdate(figuresOf({ x: 0.5 }), 0);
    expect(received.view(15_000).speedOf('x')).toBe(0.5);
    expect(received.view(15_001).speedOf('x')).toBe(1);
  });

  it('uses the figures of the previous owner while a new one is learning', () => {
    const previous = new ReceivedCapacity();
    previous.applyUpdate(figuresOf({ x: 0.5 }), 0);
    const received = new ReceivedCapacity(previous);
    received.applyUpdate(undefined, 1_000);
    expect(received.view(3_999).speedOf('x')).toBe(0.5);
    received.applyUpdate(figuresOf({ x: 0.7 }), 4_000);
    expect(received.view(4_000).speedOf('x')).toBe(0.7);
  });

  it('still uses the figures of the previous owner when the new one has to send its full state again', () => {
    const directory = new BackendDirectory();
    const fullUpdate = updateOf({ baseVersion: undefined });
    directory.applyPlacementUpdate({ ...fullUpdate, epoch: 1, capacity: figuresOf({ x: 0.5 }) }, 0);
    directory.applyPlacementUpdate({ ...fullUpdate, epoch: 2 }, 1_000);
    directory.applyPlacementUpdate(
      { ...fullUpdate, epoch: 2, capacity: figuresOf({ y: 2 }) },
      2_000,
    );
    expect(directory.capacityOf('s', 3_999).speedOf('x')).toBe(0.5);
    const view = directory.capacityOf('s', 4_000);
    expect([view.speedOf('x'), view.speedOf('y')]).toEqual([1, 2]);
  });

  it.each([NaN, -1, 0, Infinity, 1e9])('ignores the implausible value %d', (value) => {
    const received = new ReceivedCapacity();
    received.applyUpdate(figuresOf({ x: value }, { m: value }, Array<number>(8).fill(value)), 0);
    const view = received.view(0);
    expect([view.speedOf('x'), view.eventGapMs('x', 'm')]).toEqual([1, undefined]);
  });
});
