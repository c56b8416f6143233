import { describe, expect, it } from 'vitest';
import { cheapestStay } from '../../src/core/keep-alive-adaptive.js';
import { adaptivePolicy } from '../../src/experiment/policies.js';
import { Simulation } from '../../src/experiment/simulation.js';
import { makeWorkload } from '../../src/experiment/workload.js';
import { TransferModel } from '../../src/weight-store/transfer-model.js';

describe('cheapestStay', () => {
  it('keeps over short idle times and lets long ones go', () => {
    const stay = cheapestStay([1_000, 2_000, 3_000, 900_000], 60_000);
    expect(stay).toBeGreaterThanOrEqual(3_000);
    expect(stay).toBeLessThan(4_000);
  });

  it('keeps nothing when a cold start is worth nothing', () => {
    expect(cheapestStay([1_000, 2_000], 0)).toBe(0);
  });

  it('keeps over all idle times when a cold start is worth much', () => {
    expect(cheapestStay([1_000, 900_000], 10_000_000)).toBeGreaterThanOrEqual(900_000);
  });
});

describe('TransferModel', () => {
  const limits = { loadsPerSecond: 2, fullSpeedLoads: 2, bytesPerSecond: 100 };

  it('gives few transfers the full speed', () => {
    const store = new TransferModel(limits, 0);
    store.add(1, 100, 0);
    expect(store.advance(999)).toEqual([]);
    expect(store.advance(1_001)).toEqual([1]);
  });

  it('starts no more than the allowed number a second', () => {
    const store = new TransferModel(limits, 0);
    store.add(1, 10, 0);
    store.add(2, 10, 0);
    expect(store.advance(200)).toEqual([1]);
    expect(store.advance(500)).toEqual([]);
    expect(store.advance(700)).toEqual([2]);
  });

  it('reports a transfer that ends at the moment at which another one is added', () => {
    const store = new TransferModel(limits, 0);
    store.add(1, 100, 0);
    store.add(2, 100, 1_500);
    expect(store.advance(1_500)).toEqual([1]);
  });

  it('divides the speed when there are more than fit', () => {
    const store = new TransferModel({ ...limits, loadsPerSecond: 1_000 }, 0);
    for (let id = 0; id < 4; id++) store.add(id, 100, 0);
    expect(store.advance(1_500)).toEqual([]);
    expect(store.advance(2_010)).toHaveLength(4);
  });
});

describe('the simulated day', () => {
  const workload = makeWorkload('atlas', 7);
  if (workload === undefined) throw new Error('atlas is a workload');
  const short = { ...workload, arrivals: workload.arrivals.slice(0, 400) };

  it('has the sizes of the brief', () => {
    expect(workload.tenants).toHaveLength(60);
    expect(new Set(workload.tenants.map((tenant) => tenant.model)).size).toBe(50);
    expect(workload.weightStore.loadsPerSecond).toBe(2);
  });

  it('gives the same result for the same seed, and ends every request', () => {
    const days = [1, 2].map(() => new Simulation(short, adaptivePolicy(short, 1)).run());
    expect(days[0]?.idleHours).toBe(days[1]?.idleHours);
    expect(days[0]?.coldRequests).toBe(days[1]?.coldRequests);
    const ended = (days[0]?.startDelay.totalCount ?? 0) + (days[0]?.refused ?? 0);
    expect(ended).toBe(400);
  });

  it('idles less and starts cold more often with a lower worth of a cold start', () => {
    const low = new Simulation(short, adaptivePolicy(short, 0.1)).run();
    const high = new Simulation(short, adaptivePolicy(short, 10)).run();
    expect(low.idleHours).toBeLessThan(high.idleHours);
    expect(low.coldRequests).toBeGreaterThan(high.coldRequests);
  });
});
