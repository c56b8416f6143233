import { describe, expect, it } from 'vitest';
import { backendsExemptFromEjection } from '../../../src/core/capacity/ejection-limit.js';

describe('backendsExemptFromEjection', () => {
  const ejected = ['x', 'y', 'z'].map((id, index) => ({ id, until: 1_000 + index }));

  it('exempts no backend while at most half of the service is ejected', () => {
    expect([...backendsExemptFromEjection(ejected, 6)]).toEqual([]);
  });

  it('exempts the backends whose ejection ends first when more than half of the service is ejected', () => {
    expect([...backendsExemptFromEjection(ejected, 4)]).toEqual(['x']);
  });

  it('allows the ejection of a single backend', () => {
    expect([...backendsExemptFromEjection(ejected.slice(0, 1), 1)]).toEqual([]);
  });
});
