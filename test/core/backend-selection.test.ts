import { describe, expect, it } from 'vitest';
import type { BackendCandidate } from '../../src/core/backend-selection.js';
import { LowestCostSelection } from '../../src/core/backend-selection-lowest-cost.js';

function candidate(id: string, part: Partial<BackendCandidate> = {}): BackendCandidate {
  const usual = { sameZone: true, hasConnection: true, slots: 12, inFlight: 0, failureShare: 0 };
  return { id, ...usual, ...part };
}

describe('LowestCostSelection', () => {
  it('leaves the backend that keeps the prompt when its slots are nearly taken', () => {
    const selection = new LowestCostSelection('d');
    const idle = ['x', 'y', 'z'].map((id) => candidate(id));
    const home = selection.choose(idle, 'prompt')?.id ?? '';
    const busy = idle.map((each) => (each.id === home ? candidate(home, { inFlight: 11 }) : each));
    expect(selection.choose(busy, 'prompt')?.id).not.toBe(home);
  });

  it('spreads the daemons over equal backends', () => {
    const equals = ['x', 'y', 'z', 'w'].map((id) => candidate(id));
    const chosen = Array.from({ length: 40 }, (_, index) => {
      return new LowestCostSelection(`d${index}`).choose(equals, undefined)?.id;
    });
    expect(new Set(chosen).size).toBe(4);
  });

  it('prefers a backend of its own zone with a kept connection', () => {
    const near = candidate('x');
    const far = candidate('y', { sameZone: false, hasConnection: false });
    expect(new LowestCostSelection('d').choose([far, near], undefined)?.id).toBe('x');
  });
});
