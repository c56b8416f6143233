import { describe, expect, it } from 'vitest';
import { AdaptiveStoreLoadLimit, initialStoreLoadLimit } from '../../src/core/store-load-limit.js';
import { hostOf } from './gateway-fixtures.js';

const FULL_SPEED_MS = 6_000;
const STEP_MS = 100;

interface Load {
  readonly backend: string;
  remainingMs: number;
}

/**
 * Simulates a store that serves `capacity` loads at full speed and divides its throughput among
 * more. Returns the limit at each step.
 */
function simulate(limit: AdaptiveStoreLoadLimit, capacity: number, seconds: number): number[] {
  const loads: Load[] = [];
  const limits: number[] = [];
  let startedLoads = 0;
  for (let now = 0; now < seconds * 1_000; now += STEP_MS) {
    const speed = Math.min(1, capacity / Math.max(1, loads.length));
    for (const load of loads) load.remainingMs -= STEP_MS * speed;
    for (const load of loads.filter(({ remainingMs }) => remainingMs <= 0)) {
      loads.splice(loads.indexOf(load), 1);
      limit.end(load.backend, true, now);
    }
    limit.observe(now);
    while (loads.length < limit.maxConcurrent) {
      startedLoads += 1;
      const backend = `b${startedLoads}`;
      loads.push({ backend, remainingMs: FULL_SPEED_MS });
      limit.begin(backend, FULL_SPEED_MS, now);
    }
    limits.push(limit.maxConcurrent);
  }
  return limits;
}

describe('AdaptiveStoreLoadLimit', () => {
  it('grows while loads run at full speed', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    simulate(limit, 100, 30);
    expect(limit.maxConcurrent).toBeGreaterThan(30);
  });

  it('stays near the capacity of a store that slows down beyond four loads', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    const limits = simulate(limit, 4, 120).slice(300);
    expect(Math.max(...limits)).toBeLessThanOrEqual(6);
    expect(Math.min(...limits)).toBeGreaterThanOrEqual(3);
  });

  it("falls to the store's capacity from far above it", () => {
    const limit = new AdaptiveStoreLoadLimit(15);
    const limits = simulate(limit, 4, 60);
    expect(Math.max(...limits.slice(300))).toBeLessThanOrEqual(6);
    expect(Math.min(...limits)).toBeGreaterThanOrEqual(3);
  });

  it('adapts to loads that take many times their full-speed time', () => {
    const limit = new AdaptiveStoreLoadLimit(16);
    for (let index = 0; index < 16; index++) limit.begin(`b${index}`, FULL_SPEED_MS, 0);
    for (let index = 0; index < 16; index++) limit.end(`b${index}`, true, 24_000);
    expect(limit.maxConcurrent).toBe(4);
  });

  it('starts at one where loads take long, as four concurrent loads would occupy four channels', () => {
    const host = { ...hostOf(['m']), loadsPerSecond: 40 };
    const slow = host.models.map((model) => ({ ...model, storeLoadSeconds: 18 }));
    expect(initialStoreLoadLimit({ ...host, models: slow })).toBe(1);
  });

  it('starts low and within the load rate ceiling', () => {
    const host = { ...hostOf(['m']), loadsPerSecond: 25 };
    expect(initialStoreLoadLimit(host)).toBe(4);
    expect(initialStoreLoadLimit({ ...host, loadsPerSecond: 0.5 })).toBe(2);
    expect(initialStoreLoadLimit({ ...host, loadsPerSecond: 0 })).toBe(1);
  });

  it('doubles with each round of loads at full speed', () => {
    const limit = new AdaptiveStoreLoadLimit(initialStoreLoadLimit(hostOf(['m'])));
    const limits = simulate(limit, 100, 20);
    expect(limits[65]).toBe(8);
    expect(limits[125]).toBe(16);
  });

  it('falls before the first slow load has ended', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    for (let index = 0; index < 4; index++) limit.begin(`b${index}`, FULL_SPEED_MS, 0);
    limit.observe(9_000);
    expect(limit.maxConcurrent).toBe(3);
  });

  it('ignores a single slow load while others run at full speed', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    limit.begin('slow', FULL_SPEED_MS, 0);
    limit.begin('other', FULL_SPEED_MS, 0);
    limit.end('other', true, FULL_SPEED_MS);
    limit.observe(9_000);
    limit.end('slow', true, 10_000);
    expect(limit.maxConcurrent).toBe(4);
  });

  it('ignores a load that is stuck at its backend', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    limit.begin('b', FULL_SPEED_MS, 0);
    limit.observe(60_000);
    limit.end('b', true, 70_000);
    expect(limit.maxConcurrent).toBe(4);
  });

  it('does not fall below the concurrency proved at full speed when backends are slow', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    for (let index = 0; index < 4; index++) limit.begin(`a${index}`, FULL_SPEED_MS, 0);
    for (let index = 0; index < 4; index++) limit.end(`a${index}`, true, FULL_SPEED_MS);
    for (let index = 0; index < 8; index++) limit.begin(`b${index}`, FULL_SPEED_MS, 7_000);
    limit.observe(31_000);
    expect(limit.maxConcurrent).toBe(4);
    for (let index = 0; index < 8; index++) limit.end(`b${index}`, true, 31_000);
    expect(limit.maxConcurrent).toBe(4);
  });

  it('forgets after a minute the concurrency proved at full speed', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    for (let index = 0; index < 4; index++) limit.begin(`a${index}`, FULL_SPEED_MS, 0);
    for (let index = 0; index < 4; index++) limit.end(`a${index}`, true, FULL_SPEED_MS);
    for (let index = 0; index < 8; index++) limit.begin(`b${index}`, FULL_SPEED_MS, 70_000);
    limit.observe(94_000);
    expect(limit.maxConcurrent).toBe(2);
  });

  it('ignores a load that failed', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    limit.begin('b', FULL_SPEED_MS, 0);
    limit.end('b', false, 20_000);
    expect(limit.maxConcurrent).toBe(4);
    expect(limit.runningCount()).toBe(0);
  });
});
