import { describe, expect, it } from 'vitest';
import {
  decodeDemand,
  decodePlacement,
  encodeDemand,
  encodePlacement,
} from '../../src/gateway/gateway-codec.js';
import { updateOf } from '../core/gateway-fixtures.js';

describe('messages of learned capacity', () => {
  it('carry gap samples to the owner', () => {
    const sample = { backend: 'b', model: 'm', gaps: 7, logSum: 25.8, pauseGoalMs: 200 };
    const gaps = { samples: [sample], pauseClasses: [1, 0, 0, 2, 0, 0, 0, 0] };
    const body = encodeDemand('s', { daemon: 'd', samples: [], use: [], failing: [], gaps }, 1);
    if (body.case !== 'serviceDemand') throw new Error('unexpected message type');
    expect(decodeDemand('d', body.value).gaps).toEqual(gaps);
  });

  it('carry an infinite pause goal as a very large one', () => {
    const sample = { backend: 'b', model: 'm', gaps: 7, logSum: 25.8, pauseGoalMs: Infinity };
    const gaps = { samples: [sample], pauseClasses: [] };
    const body = encodeDemand('s', { daemon: 'd', samples: [], use: [], failing: [], gaps }, 1);
    if (body.case !== 'serviceDemand') throw new Error('unexpected message type');
    expect(decodeDemand('d', body.value).gaps?.samples[0]?.pauseGoalMs).toBeGreaterThan(1e9);
  });

  it('carry the learned capacity to the daemons', () => {
    const capacity = {
      speeds: new Map([['b', 0.5]]),
      gaps: new Map([['m', 160]]),
      pauseShares: [1, 0.5, 0.25, 0.2, 0.1, 0.1, 0.05, 0.01],
    };
    const body = encodePlacement(updateOf({ capacity }), 1);
    if (body.case !== 'servicePlacement') throw new Error('unexpected message type');
    expect(decodePlacement(body.value).capacity).toEqual(capacity);
    const without = encodePlacement(updateOf(), 1);
    if (without.case !== 'servicePlacement') throw new Error('unexpected message type');
    expect(decodePlacement(without.value).capacity).toBeUndefined();
  });
});
