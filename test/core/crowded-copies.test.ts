/** A model whose only copy is nearly full gets a second one, also where every place is taken. */
import { describe, expect, it } from 'vitest';
import { BackendLedger } from '../../src/core/backend-ledger.js';
import type { BackendUse, DemandSample } from '../../src/core/demand-report.js';
import type { Policies } from '../../src/core/policies.js';
import { LOAD_POLICIES, hostOf, waitingFor } from './gateway-fixtures.js';
import { brief, ledgerOf, reportOf, Scene } from './planner-scene.js';

const OFF: Policies = { ...LOAD_POLICIES, relieveCrowdedCopies: false };
/** Of the 64 slots of one copy. */
const CROWDED = 60;
const WARM = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8', 'w9', 'w10', 'w11'];
const host = hostOf(['hot', ...WARM, 'rare1']);

/** One arrival a second, smoothed, is worth some 11.5 arrivals at once. */
function asked(model: string, perSecond: number): DemandSample {
  return waitingFor(model, { waiting: 0, arrivals: perSecond * 11.5, goalMs: 600 });
}

function inUse(backend: string, model: string, inFlight: number): BackendUse {
  return { backend, model, adapter: undefined, inFlight };
}

/** Six backends of two models each: the hot one has long streams, five a second of them. */
function fullSite(policies: Policies): Scene {
  const ledgers = Array.from({ length: 6 }, (_, index) => {
    const held = index === 0 ? ['hot', WARM[10] ?? ''] : WARM.slice(2 * index - 2, 2 * index);
    return ledgerOf(`b${index}`, held);
  });
  const scene = new Scene(ledgers, policies, host);
  const samples = [asked('hot', 5), ...WARM.map((model) => asked(model, 0.9))];
  scene.hearUse([inUse('b0', 'hot', CROWDED)], samples);
  return scene;
}

/** The hot model's only copy is at "x"; at "y" an unload makes room for a second one. */
function roomInTheMaking(policies: Policies, inFlight: number): [Scene, BackendLedger] {
  const making = ledgerOf('y', ['w1', 'w2'], ['rare1', 'hot']);
  const scene = new Scene([ledgerOf('x', ['hot', 'w3']), making], policies, host);
  const samples = [asked('hot', 5), asked('w1', 0.1), asked('w2', 0.2), asked('w3', 2)];
  scene.hearUse([inUse('x', 'hot', inFlight)], samples);
  expect(brief(scene.planAndAccept())).toEqual(['y unload w1']);
  return [scene, making];
}

function unloaded(making: BackendLedger, now: number): void {
  making.adopt(reportOf(['w2'], { sequence: 1, onDisk: ['rare1', 'hot'] }), now);
}

function isHotCopied(scene: Scene): boolean {
  return brief(scene.planAndAccept()).includes('y load hot');
}

describe('a crowded copy', () => {
  it('gets a second one where each other place holds a model in some demand', () => {
    expect(fullSite(OFF).plan()).toEqual([]);
    const [order, ...others] = fullSite(LOAD_POLICIES).plan();
    expect(order).toMatchObject({ order: { operation: 'unload' } });
    expect(order?.reason).toBe('room for hot: crowded copies');
    expect(others).toEqual([]);
  });

  it('keeps the second one once it is there: the first would be crowded without it', () => {
    const held = [
      ['hot', 'w1'],
      ['hot', 'w2'],
      ['w3', 'w4'],
    ];
    const scene = new Scene(
      held.map((models, index) => ledgerOf(`b${index}`, models)),
      LOAD_POLICIES,
      host,
    );
    const use = [inUse('b0', 'hot', CROWDED / 2), inUse('b1', 'hot', CROWDED / 2)];
    const others = ['w1', 'w2', 'w3', 'w4'].map((model) => asked(model, 1.5));
    scene.hearUse(use, [asked('hot', 5), ...others, waitingFor('rare1')]);
    const [order] = scene.plan();
    expect(order?.order.operation).toBe('unload');
    expect(order?.order.model).not.toBe('hot');
  });

  it('has the room made for it although the running streams there take longer than a rare one waits', () => {
    for (const [policies, isCopied] of [
      [LOAD_POLICIES, true],
      [OFF, false],
    ] as const) {
      const [scene, making] = roomInTheMaking(policies, CROWDED);
      scene.now += 5_000;
      // While the unload runs, the crowd is less than at either moment.
      scene.hearUse([inUse('x', 'hot', 40)], [waitingFor('rare1')]);
      scene.planAndAccept();
      unloaded(making, scene.now);
      expect(isHotCopied(scene)).toBe(isCopied);
    }
  });

  it('has the room that was made for its rate, before the rare models that wait', () => {
    for (const [policies, isCopied] of [
      [LOAD_POLICIES, true],
      [OFF, false],
    ] as const) {
      const [scene, making] = roomInTheMaking(policies, 0);
      scene.now += 300;
      unloaded(making, scene.now);
      scene.hear(waitingFor('rare1'));
      expect(isHotCopied(scene)).toBe(isCopied);
    }
  });
});
