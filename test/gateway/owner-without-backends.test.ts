/**
 * Failure: an owner that reached no backend kept its ownership, so no model was loaded, and daemons that reached all backends
 * refused their callers.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

const ADDRESSES = ['one', 'two', 'three', 'four', 'five'];
const RANKED = rankCandidates(SERVICE, ADDRESSES);

describe.each([true, false])(
  'an owner that reaches no backend (backends check epochs: %s)',
  (checksEpochs) => {
    let scene: OwnershipScene;
    let owner: string;

    beforeEach(async () => {
      vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'setInterval', 'Date'] });
      scene = new OwnershipScene(checksEpochs);
      for (const address of ADDRESSES) scene.join(address, 1_000);
      await scene.run(4_000);
      owner = RANKED[0] ?? '';
      expect(owners()).toEqual([owner]);
    });
    afterEach(() => {
      vi.useRealTimers();
    });

    function owners(): string[] {
      return [...scene.ownerships]
        .filter(([, { epoch }]) => epoch !== undefined)
        .map(([name]) => name);
    }

    /** Milliseconds until a daemon that reaches backends may order. */
    async function timeToOrder(): Promise<number> {
      let passed = 0;
      const mayOrder = (): boolean =>
        [...scene.ownerships].some(
          ([address, ownership]) => !scene.withoutBackends.has(address) && ownership.mayOrder(),
        );
      while (!mayOrder() && passed < 30_000) {
        await scene.run(50);
        passed += 50;
      }
      return passed;
    }

    it('is replaced by one that reaches them, in time for its callers', async () => {
      scene.withoutBackends.add(owner);
      expect(await timeToOrder()).toBeLessThan(1_500);
      expect(owners()).toHaveLength(1);
      expect(owners()).not.toContain(owner);
    });

    it('is replaced although those that rank next reach none either', async () => {
      for (const address of RANKED.slice(0, 4)) scene.withoutBackends.add(address);
      expect(await timeToOrder()).toBeLessThan(1_500);
      expect(owners()).toEqual([RANKED[4]]);
    });

    it('stays the owner if no other daemon reaches them', async () => {
      for (const address of ADDRESSES) scene.withoutBackends.add(address);
      await scene.run(20_000);
      expect(owners()).toEqual([owner]);
    });

    it('is replaced later if nobody receives its resignation', async () => {
      scene.losesResignations = true;
      scene.withoutBackends.add(owner);
      expect(await timeToOrder()).toBeLessThan(10_000);
      expect(owners()).not.toContain(owner);
    });

    it('does not take the service back while its successor keeps it', async () => {
      scene.withoutBackends.add(owner);
      await timeToOrder();
      const [successor] = owners();
      scene.withoutBackends.delete(owner);
      await scene.run(30_000);
      expect(owners()).toEqual([successor]);
    });

    it('never sends an order after a successor has', async () => {
      const epochs: number[] = [];
      scene.withoutBackends.add(owner);
      await scene.run(8_000, () => {
        for (const ownership of scene.ownerships.values()) {
          if (ownership.mayOrder()) epochs.push(ownership.epoch ?? 0);
        }
      });
      expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
      expect(new Set(epochs).size).toBe(2);
    });

    it('ignores a resignation of a daemon that is not the owner', async () => {
      const other = scene.ownerships.get(RANKED[1] ?? '');
      other?.applyResignation(RANKED[2] ?? '', 1, RANKED[1] ?? '');
      other?.applyResignation(owner, 0, RANKED[1] ?? '');
      await scene.run(3_000);
      expect(owners()).toEqual([owner]);
    });
  },
);
