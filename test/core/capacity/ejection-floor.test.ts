import { describe, expect, it } from 'vitest';
import { sparedBackends } from '../../../src/core/capacity/ejection-floor.js';

describe('sparedBackends', () => {
  const avoided = ['x', 'y', 'z'].map((id, index) => ({ id, until: 1_000 + index }));

  it('spares nobody while half of the service is left', () => {
    expect([...sparedBackends(avoided, 6)]).toEqual([]);
  });

  it('spares those whose time ends first beyond half of the service', () => {
    expect([...sparedBackends(avoided, 4)]).toEqual(['x']);
  });

  it('lets a single backend be left alone', () => {
    expect([...sparedBackends(avoided.slice(0, 1), 1)]).toEqual([]);
  });
});
