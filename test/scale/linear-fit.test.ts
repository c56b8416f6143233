import { describe, expect, it } from 'vitest';
import { fitLine, valueAt } from '../../src/scale/linear-fit.js';

describe('fitLine', () => {
  it('finds a line exactly', () => {
    const line = fitLine([
      { x: 30, y: 70 },
      { x: 60, y: 130 },
      { x: 120, y: 250 },
    ]);
    expect(line.slope).toBeCloseTo(2);
    expect(line.base).toBeCloseTo(10);
    expect(line.explained).toBeCloseTo(1);
    expect(valueAt(line, 330)).toBeCloseTo(670);
  });

  it('says how little a line explains', () => {
    const line = fitLine([
      { x: 1, y: 1 },
      { x: 2, y: -1 },
      { x: 3, y: 1 },
    ]);
    expect(line.explained).toBeLessThan(0.1);
  });
});
