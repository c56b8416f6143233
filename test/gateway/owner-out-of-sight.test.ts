/*
 * A service had no owner for 4.9 s, and models that callers waited for were not loaded, when its owner had given it up
 * because it saw too few of the listed daemons for a moment, and saw them again. Soak seed 30010, after an outage of the
 * store in which all four daemons had started again: `ownership_ended epoch=8 reason="sees too few daemons"` at 0.146 s,
 * `members live=4 listed=4` at the same daemon at 0.457 s, `ownership_claimed epoch=9 cause="it lives but is silent"` at
 * another one at 5.079 s: it waits for 2.5 s for the owner that it has heard last, then as long for the one of the record.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

const RANKED = rankCandidates(SERVICE, ['one', 'two', 'three', 'four']);
const [FIRST = '', OWNER = ''] = RANKED;
const OTHERS = RANKED.filter((address) => address !== OWNER);

describe('an owner that has seen too few others for a moment', () => {
  let scene: OwnershipScene;

  beforeEach(async () => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'setInterval', 'Date'] });
    scene = new OwnershipScene();
    scene.join(OWNER, 1_000);
    await scene.runHeard(1_500);
    for (const address of OTHERS) scene.join(address, 9_000);
    await scene.runHeard(2_000);
    expect(owners()).toEqual([OWNER]);
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function owners(): string[] {
    return RANKED.filter((address) => scene.ownerships.get(address)?.epoch !== undefined);
  }

  it('owns the service again at once', async () => {
    for (const address of OTHERS) scene.cut(OWNER, address);
    await scene.runHeard(300);
    expect(owners()).toEqual([]);
    for (const address of OTHERS) scene.heal(OWNER, address);
    await scene.runHeard(600);
    expect(owners()).toEqual([OWNER]);
    expect(scene.ownerships.get(OWNER)?.epoch).toBe(2);
  });

  it('owns it again though a former owner still speaks', async () => {
    for (const address of OTHERS) scene.cut(OWNER, address);
    await scene.runHeard(300);
    for (const address of OTHERS) scene.heal(OWNER, address);
    scene.ownerships.get(OWNER)?.hearOwner(FIRST, 0);
    await scene.runHeard(600);
    expect(owners()).toEqual([OWNER]);
  });

  it('leaves it to another that has claimed it meanwhile', async () => {
    for (const address of OTHERS) scene.cut(OWNER, address);
    await scene.runHeard(4_000);
    expect(owners()).toEqual([FIRST]);
    for (const address of OTHERS) scene.heal(OWNER, address);
    await scene.runHeard(6_000);
    expect(owners()).toEqual([FIRST]);
    expect(scene.ownerships.get(FIRST)?.epoch).toBe(2);
  });
});
