/**
 * Worth of a copy by the callers that it serves, the order of loads, and fetching models ahead of
 * requests.
 */
import { describe, expect, it } from 'vitest';
import type { Policies } from '../../src/core/policies.js';
import { ModelDemand } from '../../src/core/model-demand.js';
import { earliestDueFirst, mostCallersFirst } from '../../src/core/waiting-model-comparators.js';
import { hostOf, LOAD_POLICIES, demandSampleOf } from './gateway-fixtures.js';
import { describeOrders, ledgerOf, PlannerFixture } from './planner-fixture.js';

const host = hostOf(['listed', 'patient', 'rare1', 'rare2', 'unheld1', 'unheld2']);

const ON: Policies = { ...LOAD_POLICIES, copyWorthByCallers: true, fetchAhead: true };

function without(policy: 'copyWorthByCallers' | 'fetchAhead'): Policies {
  return { ...ON, [policy]: false };
}

describe('the worth of a copy', () => {
  it('weighs callers with time for a load by the share of their goal that a load takes', () => {
    const victimOf = (policies: Policies): string => {
      const scene = new PlannerFixture(
        [ledgerOf('x', ['listed', 'patient'], ['rare1'])],
        policies,
        host,
      );
      const recentDemand = demandSampleOf('patient', { waiting: 0, arrivals: 6, goalMs: 4_000 });
      scene.reportDemand(recentDemand, demandSampleOf('rare1'));
      return scene.plan()[0]?.order.model ?? '';
    };
    // About half a request per second: at a worth of 400 per request a second, the copy was worth
    // less
    // than that of the model listed first.
    expect(victimOf(without('copyWorthByCallers'))).toBe('patient');
    expect(victimOf(ON)).toBe('listed');
  });
});

describe('the order of loads', () => {
  function waitingModels(order: typeof mostCallersFirst, waitedMs: number): string[] {
    const demand = new ModelDemand(order);
    const single = demandSampleOf('rare1', { waiting: 1, dueInMs: 100 });
    demand.applyReport({ daemon: 'd1', samples: [single], use: [], failing: [] }, 0);
    demand.waiting(0);
    const many = demandSampleOf('rare2', { waiting: 3, dueInMs: 2_000 });
    demand.applyReport({ daemon: 'd1', samples: [single], use: [], failing: [] }, waitedMs);
    demand.applyReport({ daemon: 'd2', samples: [many], use: [], failing: [] }, waitedMs);
    return demand.waiting(waitedMs).map(({ model }) => model);
  }

  it('loads the model with the most waiting callers first', () => {
    expect(waitingModels(earliestDueFirst, 0)).toEqual(['rare1', 'rare2']);
    expect(waitingModels(mostCallersFirst, 0)).toEqual(['rare2', 'rare1']);
  });

  it('does not starve a model with few callers', () => {
    expect(waitingModels(mostCallersFirst, 7_900)).toEqual(['rare2', 'rare1']);
    expect(waitingModels(mostCallersFirst, 8_000)).toEqual(['rare1', 'rare2']);
  });
});

describe('fetching ahead', () => {
  const held = ['listed', 'patient', 'rare1', 'rare2'];

  function idle(policies: Policies): PlannerFixture {
    return new PlannerFixture([ledgerOf('x', [], held), ledgerOf('y', [])], policies, host);
  }

  it('fetches models that are stored at no backend one at a time before the first request', () => {
    expect(idle(without('fetchAhead')).plan()).toEqual([]);
    const scene = idle(ON);
    expect(describeOrders(scene.planAndAccept())).toEqual([
      expect.stringContaining('load unheld1'),
    ]);
    // The weight store allows one load at a time, and another round does not repeat the first load.
    expect(describeOrders(scene.plan()).join()).not.toContain('unheld1');
  });

  it('stops after the first request, and evicts no model that would have to be fetched again', () => {
    const scene = idle(ON);
    scene.reportDemand(demandSampleOf('patient', { waiting: 0 }));
    expect(scene.plan()).toEqual([]);
    const full = new PlannerFixture([ledgerOf('x', ['listed', 'patient'])], ON, host);
    expect(full.plan()).toEqual([]);
  });
});
