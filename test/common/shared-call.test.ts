/** Guards against results of calls that began before they were asked for. */
import { expect, it } from 'vitest';
import { shareCalls } from '../../src/common/shared-call.js';

it('shares the next call among all that ask while one is under way', async () => {
  const ends: ((result: number) => void)[] = [];
  const share = shareCalls(() => new Promise<number>((resolve) => ends.push(resolve)));
  const first = share();
  const others = [share(), share()];
  expect(ends).toHaveLength(1);
  ends[0]?.(1);
  expect(await first).toBe(1);
  await Promise.resolve();
  expect(ends).toHaveLength(2);
  const last = share();
  ends[1]?.(2);
  expect(await Promise.all(others)).toEqual([2, 2]);
  await Promise.resolve();
  ends[2]?.(3);
  expect(await last).toBe(3);
});

it('makes a new call after one that has failed', async () => {
  let calls = 0;
  const share = shareCalls(() => {
    calls += 1;
    return calls === 1 ? Promise.reject(new Error('first')) : Promise.resolve(calls);
  });
  const [failed, next] = [share(), share()];
  await expect(failed).rejects.toThrow('first');
  expect(await next).toBe(2);
});
