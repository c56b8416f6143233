import { describe, expect, it } from 'vitest';
import { AdaptiveStoreLoadLimit, firstStoreLoadLimit } from '../../src/core/store-load-limit.js';
import { hostOf } from './gateway-fixtures.js';

const FULL_SPEED_MS = 6_000;
const LOOK_MS = 100;

interface Load {
  readonly backend: string;
  left: number;
}

/** A store that carries `carries` loads at full speed and divides its throughput among more. */
function play(limit: AdaptiveStoreLoadLimit, carries: number, seconds: number): number[] {
  const loads: Load[] = [];
  const mosts: number[] = [];
  let begun = 0;
  for (let now = 0; now < seconds * 1_000; now += LOOK_MS) {
    const speed = Math.min(1, carries / Math.max(1, loads.length));
    for (const load of loads) load.left -= LOOK_MS * speed;
    for (const load of loads.filter(({ left }) => left <= 0)) {
      loads.splice(loads.indexOf(load), 1);
      limit.end(load.backend, true, now);
    }
    limit.observe(now);
    while (loads.length < limit.most) {
      begun += 1;
      const backend = `b${begun}`;
      loads.push({ backend, left: FULL_SPEED_MS });
      limit.begin(backend, FULL_SPEED_MS, now);
    }
    mosts.push(limit.most);
  }
  return mosts;
}

describe('AdaptiveStoreLoadLimit', () => {
  it('grows while loads run at full speed', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    play(limit, 100, 30);
    expect(limit.most).toBeGreaterThan(30);
  });

  it('stays near what a store carries that slows down beyond four', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    const mosts = play(limit, 4, 120).slice(300);
    expect(Math.max(...mosts)).toBeLessThanOrEqual(6);
    expect(Math.min(...mosts)).toBeGreaterThanOrEqual(3);
  });

  it('falls to what the store carries from far above it', () => {
    const limit = new AdaptiveStoreLoadLimit(15);
    const mosts = play(limit, 4, 60);
    expect(Math.max(...mosts.slice(300))).toBeLessThanOrEqual(6);
    expect(Math.min(...mosts)).toBeGreaterThanOrEqual(3);
  });

  it('learns from loads that take many times their time at full speed', () => {
    const limit = new AdaptiveStoreLoadLimit(16);
    for (let index = 0; index < 16; index++) limit.begin(`b${index}`, FULL_SPEED_MS, 0);
    for (let index = 0; index < 16; index++) limit.end(`b${index}`, true, 24_000);
    expect(limit.most).toBe(4);
  });

  it('begins with one where loads take long: four that share the store of one keep four channels', () => {
    const host = { ...hostOf(['m']), loadsPerSecond: 40 };
    const slow = host.models.map((model) => ({ ...model, storeLoadSeconds: 18 }));
    expect(firstStoreLoadLimit({ ...host, models: slow })).toBe(1);
  });

  it('begins low, within what the ceiling allows', () => {
    const host = { ...hostOf(['m']), loadsPerSecond: 25 };
    expect(firstStoreLoadLimit(host)).toBe(4);
    expect(firstStoreLoadLimit({ ...host, loadsPerSecond: 0.5 })).toBe(2);
    expect(firstStoreLoadLimit({ ...host, loadsPerSecond: 0 })).toBe(1);
  });

  it('doubles with each round of loads at full speed', () => {
    const limit = new AdaptiveStoreLoadLimit(firstStoreLoadLimit(hostOf(['m'])));
    const mosts = play(limit, 100, 20);
    expect(mosts[65]).toBe(8);
    expect(mosts[125]).toBe(16);
  });

  it('falls before the first slow load has ended', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    for (let index = 0; index < 4; index++) limit.begin(`b${index}`, FULL_SPEED_MS, 0);
    limit.observe(9_000);
    expect(limit.most).toBe(3);
  });

  it('learns nothing from a single load that is slow beside others in time', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    limit.begin('slow', FULL_SPEED_MS, 0);
    limit.begin('other', FULL_SPEED_MS, 0);
    limit.end('other', true, FULL_SPEED_MS);
    limit.observe(9_000);
    limit.end('slow', true, 10_000);
    expect(limit.most).toBe(4);
  });

  it('learns nothing from a load that is stuck at its backend', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    limit.begin('b', FULL_SPEED_MS, 0);
    limit.observe(60_000);
    limit.end('b', true, 70_000);
    expect(limit.most).toBe(4);
  });

  it('does not fall below what has run at full speed, when backends are slow themselves', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    for (let index = 0; index < 4; index++) limit.begin(`a${index}`, FULL_SPEED_MS, 0);
    for (let index = 0; index < 4; index++) limit.end(`a${index}`, true, FULL_SPEED_MS);
    for (let index = 0; index < 8; index++) limit.begin(`b${index}`, FULL_SPEED_MS, 7_000);
    limit.observe(31_000);
    expect(limit.most).toBe(4);
    for (let index = 0; index < 8; index++) limit.end(`b${index}`, true, 31_000);
    expect(limit.most).toBe(4);
  });

  it('forgets after a minute what has run at full speed', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    for (let index = 0; index < 4; index++) limit.begin(`a${index}`, FULL_SPEED_MS, 0);
    for (let index = 0; index < 4; index++) limit.end(`a${index}`, true, FULL_SPEED_MS);
    for (let index = 0; index < 8; index++) limit.begin(`b${index}`, FULL_SPEED_MS, 70_000);
    limit.observe(94_000);
    expect(limit.most).toBe(2);
  });

  it('learns nothing from a load that failed', () => {
    const limit = new AdaptiveStoreLoadLimit(4);
    limit.begin('b', FULL_SPEED_MS, 0);
    limit.end('b', false, 20_000);
    expect(limit.most).toBe(4);
    expect(limit.running()).toBe(0);
  });
});
