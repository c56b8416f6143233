import { describe, expect, it } from 'vitest';
import { ConfigurationLease } from '../../src/core/configuration-lease.js';

describe('ConfigurationLease', () => {
  it('is infinitely old until a proof has come', () => {
    expect(new ConfigurationLease().ageMs(1_000)).toBe(Infinity);
  });

  it('only becomes newer: a late answer takes nothing back', () => {
    const lease = new ConfigurationLease();
    lease.configured(3);
    lease.prove({ version: 3, provenAt: 100 });
    lease.prove({ version: 2, provenAt: 40 });
    expect(lease.ageMs(150)).toBe(50);
  });

  it('does not count a proof of a configuration that is not in force yet', () => {
    const lease = new ConfigurationLease();
    lease.configured(3);
    lease.prove({ version: 3, provenAt: 100 });
    lease.prove({ version: 4, provenAt: 900 });
    expect(lease.ageMs(1_000)).toBe(900);
    lease.configured(4);
    expect(lease.ageMs(1_000)).toBe(100);
  });

  it('counts a proof of an older configuration: a newer one holds all that it held', () => {
    const lease = new ConfigurationLease();
    lease.configured(5);
    lease.prove({ version: 3, provenAt: 100 });
    expect(lease.ageMs(150)).toBe(50);
  });
});
