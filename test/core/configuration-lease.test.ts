import { describe, expect, it } from 'vitest';
import { ConfigurationLease } from '../../src/core/configuration-lease.js';

describe('ConfigurationLease', () => {
  it('has infinite age before the first proof', () => {
    expect(new ConfigurationLease().ageMs(1_000)).toBe(Infinity);
  });

  it('ignores a late proof that is older than the current one', () => {
    const lease = new ConfigurationLease();
    lease.setVersion(3);
    lease.addProof({ version: 3, provenAt: 100 });
    lease.addProof({ version: 2, provenAt: 40 });
    expect(lease.ageMs(150)).toBe(50);
  });

  it('does not count a proof for a configuration that is not in force yet', () => {
    const lease = new ConfigurationLease();
    lease.setVersion(3);
    lease.addProof({ version: 3, provenAt: 100 });
    lease.addProof({ version: 4, provenAt: 900 });
    expect(lease.ageMs(1_000)).toBe(900);
    lease.setVersion(4);
    expect(lease.ageMs(1_000)).toBe(100);
  });

  it('counts a proof for an older configuration than the one in force', () => {
    const lease = new ConfigurationLease();
    lease.setVersion(5);
    lease.addProof({ version: 3, provenAt: 100 });
    expect(lease.ageMs(150)).toBe(50);
  });
});
