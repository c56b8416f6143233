import { describe, expect, it } from 'vitest';
import { FaultBoundary } from '../../src/common/fault-boundary.js';

describe('FaultBoundary', () => {
  const faults: unknown[] = [];
  const boundary = new FaultBoundary((fault) => faults.push(fault));

  it('passes each exception to its handler, of actions, callbacks and promises', async () => {
    const thrower = (text: string): void => {
      throw new Error(text);
    };
    boundary.run(() => thrower('action'));
    boundary.guard(thrower)('callback');
    boundary.watch(Promise.reject(new Error('promise')));
    await Promise.resolve();
    expect(faults).toMatchObject([
      { message: 'action' },
      { message: 'callback' },
      { message: 'promise' },
    ]);
  });

  it('passes arguments on', () => {
    const seen: number[] = [];
    boundary.guard((first: number, second: number) => seen.push(first, second))(1, 2);
    expect(seen).toEqual([1, 2]);
  });
});
