import { describe, expect, it } from 'vitest';
import { TransferModel } from '../../src/weight-store/transfer-model.js';

describe('TransferModel', () => {
  const limits = { loadsPerSecond: 2, fullSpeedLoads: 2, bytesPerSecond: 100 };

  it('serves transfers at full speed up to the concurrency limit', () => {
    const store = new TransferModel(limits, 0);
    store.add(1, 100, 0);
    expect(store.advance(999)).toEqual([]);
    expect(store.advance(1_001)).toEqual([1]);
  });

  it('limits the number of transfer starts per second', () => {
    const store = new TransferModel(limits, 0);
    store.add(1, 10, 0);
    store.add(2, 10, 0);
    expect(store.advance(200)).toEqual([1]);
    expect(store.advance(500)).toEqual([]);
    expect(store.advance(700)).toEqual([2]);
  });

  it('reports a transfer that ends at the time at which another one is added', () => {
    const store = new TransferModel(limits, 0);
    store.add(1, 100, 0);
    store.add(2, 100, 1_500);
    expect(store.advance(1_500)).toEqual([1]);
  });

  it('divides the bandwidth if there are more transfers than the concurrency limit', () => {
    const store = new TransferModel({ ...limits, loadsPerSecond: 1_000 }, 0);
    for (let id = 0; id < 4; id++) store.add(id, 100, 0);
    expect(store.advance(1_500)).toEqual([]);
    expect(store.advance(2_010)).toHaveLength(4);
  });
});
