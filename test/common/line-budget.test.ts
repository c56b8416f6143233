import { describe, expect, it } from 'vitest';
import { LineBudget } from '../../src/common/line-budget.js';

describe('LineBudget', () => {
  it('bounds the lines of a kind and counts what is left out', () => {
    const budget = new LineBudget();
    let written = 0;
    for (let count = 0; count < 500; count++) written += Number(budget.take('a', 0, false).written);
    expect(written).toBe(200);
    expect(budget.take('b', 0, false)).toEqual({ written: true, leftOut: 0 });
    expect(budget.take('a', 1_000, false)).toEqual({ written: true, leftOut: 300 });
  });

  it('leaves lines out while the reader does not keep up', () => {
    const budget = new LineBudget();
    expect(budget.take('a', 0, true).written).toBe(false);
    expect(budget.take('a', 1, false)).toEqual({ written: true, leftOut: 1 });
  });
});
