import { describe, expect, it } from 'vitest';
import { RequestTracker } from '../../src/gateway/request-tracker.js';

const MODEL = { model: 'm', adapter: undefined };

describe('RequestTracker', () => {
  it('reports the time until the first waiting caller is due', () => {
    const tracker = new RequestTracker();
    const early = { dueAt: 2_000, goalMs: 500 };
    tracker.addWaiting('s', MODEL, { dueAt: 6_000, goalMs: 500 });
    tracker.addWaiting('s', MODEL, early);
    expect(tracker.report('s', 'd', [], 1_000).samples[0]).toMatchObject({
      waiting: 2,
      dueInMs: 1_000,
    });
    tracker.removeWaiting('s', MODEL, early);
    expect(tracker.report('s', 'd', [], 1_000).samples[0]?.dueInMs).toBe(5_000);
  });

  it('reports recent requests to a new owner, with fewer arrivals the older they are', () => {
    const tracker = new RequestTracker();
    for (let count = 0; count < 8; count++) tracker.recordArrival('s', MODEL, 400, 0);
    tracker.report('s', 'd', [], 0);
    expect(tracker.report('s', 'd', [], 8_000).samples).toEqual([]);
    tracker.addRecentArrivals('s', 8_000);
    expect(tracker.report('s', 'd', [], 8_000).samples[0]).toMatchObject({
      arrivals: 4,
      goalMs: 400,
    });
    tracker.addRecentArrivals('s', 60_000);
    expect(tracker.report('s', 'd', [], 60_000).samples).toEqual([]);
  });

  it('reports a service once more after its last request has ended, so that the owner stops counting it', () => {
    const tracker = new RequestTracker();
    tracker.addInFlight('s', 'b', MODEL, 1);
    expect(tracker.report('s', 'd', [], 0).use).toHaveLength(1);
    expect(tracker.hasChanged('s')).toBe(false);
    expect(tracker.activeServices()).toEqual(['s']);
    tracker.addInFlight('s', 'b', MODEL, -1);
    expect(tracker.hasChanged('s')).toBe(true);
    expect(tracker.activeServices()).toEqual(['s']);
    expect(tracker.report('s', 'd', [], 0).use).toEqual([]);
    expect(tracker.activeServices()).toEqual([]);
  });

  it('postpones the due time of a late caller by some goals, not indefinitely', () => {
    const tracker = new RequestTracker();
    tracker.addWaiting('s', MODEL, { dueAt: 1_000, goalMs: 500 });
    expect(tracker.report('s', 'd', [], 1_500).samples[0]?.dueInMs).toBe(1_500);
    expect(tracker.report('s', 'd', [], 4_000).samples[0]?.dueInMs).toBe(-1_000);
  });
});
