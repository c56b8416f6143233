/**
 * Guards against an owner record that another program has written with an epoch that no later one can exceed. No claim was stored
 * with a higher epoch, so that the service had no owner, or two owners had the same epoch.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

const SETTLED_MS = 10_000;

describe('an odd owner record of another program', () => {
  beforeEach(() =>
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
  );
  afterEach(() => vi.useRealTimers());

  function epochs(scene: OwnershipScene): number[] {
    return [...scene.ownerships.values()].flatMap(({ epoch }) => epoch ?? []);
  }

  async function startWith(fields: string): Promise<OwnershipScene> {
    const scene = new OwnershipScene(true);
    const value = JSON.parse(`{"address":"x","incarnation":1,"claim":"",${fields}}`) as unknown;
    scene.record = { name: SERVICE, value, revision: 1 };
    ['a', 'b', 'c'].forEach((address, index) => scene.join(address, 1_000 + index));
    await scene.run(SETTLED_MS);
    return scene;
  }

  it.each(['1e400', '1e308', '18446744073709551616', '9007199254740991', '-1', '0.5', 'null'])(
    'with the epoch %s does not prevent claims with increasing epochs',
    async (odd) => {
      const scene = await startWith(`"epoch":${odd}`);
      const [first, ...others] = epochs(scene);
      expect(others).toEqual([]);
      expect(Number.isSafeInteger(first)).toBe(true);
      for (const ownership of scene.ownerships.values()) ownership.giveUp('test');
      await scene.run(SETTLED_MS);
      const [second, ...more] = epochs(scene);
      expect(more).toEqual([]);
      expect(Number.isSafeInteger(second)).toBe(true);
      expect(second).toBeGreaterThan(first ?? Infinity);
    },
  );

  it.each(['"soon"', '1e400', '-1', '{}'])(
    'with the incarnation %s does not prevent a claim',
    async (odd) => {
      const scene = await startWith(`"epoch":4,"incarnation":${odd}`);
      expect(epochs(scene)).toEqual([5]);
    },
  );
});
