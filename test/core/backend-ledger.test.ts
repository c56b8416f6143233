import { describe, expect, it } from 'vitest';
import { BackendLedger } from '../../src/core/backend-ledger.js';
import type { BackendReport, ModelOrder } from '../../src/core/model-order.js';
import { hostOf } from './gateway-fixtures.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';

const LOAD: ModelOrder = { operation: 'load', model: 'new', adapter: undefined };

function report(held: readonly string[], sequence: number, busy = false): BackendReport {
  const models = held.map((name) => ({ name, adapters: [] }));
  const none = { coming: [], inMemory: [], onDisk: [], waiting: 0, running: 0 };
  return { ...none, busy, sequence, models };
}

function readyLedger(): BackendLedger {
  const ledger = new BackendLedger('x');
  ledger.adopt(report(['old'], 0), 0);
  ledger.adopt(report(['old'], 0), 1_000);
  return ledger;
}

function loading(): BackendLedger {
  const ledger = readyLedger();
  ledger.send(LOAD);
  ledger.settle(LOAD, { type: 'accepted' }, 1_000, 1_500);
  return ledger;
}

describe('BackendLedger', () => {
  it('takes no order before reports have told the same for a time', () => {
    const ledger = new BackendLedger('x');
    expect(ledger.adopt(report(['old'], 3), 0)).toBe(false);
    expect(ledger.takesModelOrder).toBe(false);
    expect(ledger.adopt(report(['old', 'new'], 3), 400)).toBe(true);
    expect(ledger.takesModelOrder).toBe(true);
  });

  it('goes on counting a load that a report calls ended without showing it', () => {
    const ledger = loading();
    expect(ledger.adopt(report(['old'], 1), 2_500)).toBe(false);
    expect(ledger.currentOrder).toEqual(LOAD);
    expect(ledger.adopt(report(['old', 'new'], 1), 2_650)).toBe(true);
    expect([...ledger.models.keys()]).toEqual(['old', 'new']);
  });

  it('keeps what the list has shown when a late report does not show it yet', () => {
    const ledger = loading();
    const listed = { models: report(['old', 'new'], 1).models, sequence: 1 } as BackendRecord;
    expect(ledger.observe(listed, 2_500)).toBe(true);
    ledger.adopt(report(['old'], 1), 2_550);
    expect(ledger.models.has('new')).toBe(true);
  });

  it("believes a former owner's load until a report shows otherwise", () => {
    const ledger = new BackendLedger('x');
    ledger.assumeLoading('new', 5_000);
    expect(ledger.currentOrder).toEqual(LOAD);
    expect(ledger.takesModelOrder).toBe(false);
    expect(ledger.adopt(report(['old'], 3, true), 0)).toBe(false);
    expect(ledger.currentOrder).toEqual(LOAD);
    ledger.adopt(report(['old'], 3), 1_000);
    expect(ledger.adopt(report(['old'], 3), 1_400)).toBe(true);
    expect(ledger.currentOrder).toBeUndefined();
    expect(ledger.takesModelOrder).toBe(true);
  });

  it("keeps room for an order to the backend's earlier start until that cannot be taken any more", () => {
    const host = hostOf(['old', 'new']);
    const earlier = readyLedger();
    earlier.send(LOAD);
    earlier.settle(LOAD, { type: 'unknown', reason: 'no answer' }, 1_000, 1_500);
    const later = new BackendLedger('x', 'two');
    later.awaitLateOrders(earlier.unansweredOrders(2_000));
    expect(later.usedMegabytes(host)).toBe(70);
    later.forgetLateOrders(11_000);
    expect(later.usedMegabytes(host)).toBe(0);
    later.awaitLateOrders(earlier.unansweredOrders(2_000));
    later.adopt(report([], 1), 2_000);
    later.adopt(report([], 1), 2_400);
    expect(later.usedMegabytes(host)).toBe(0);
  });

  it('does not take an older report', () => {
    const ledger = loading();
    expect(ledger.adopt(report(['old'], 0), 2_000)).toBe(false);
    expect(ledger.sequence).toBe(1);
  });
});
