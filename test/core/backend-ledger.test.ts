import { describe, expect, it } from 'vitest';
import { BackendLedger } from '../../src/core/backend-ledger.js';
import type { BackendReport, ModelOrder } from '../../src/core/model-order.js';
import { hostOf } from './gateway-fixtures.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';

const LOAD: ModelOrder = { operation: 'load', model: 'new', adapter: undefined };

function report(held: readonly string[], sequence: number, busy = false): BackendReport {
  const models = held.map((name) => ({ name, adapters: [] }));
  const empty = { coming: [], inMemory: [], onDisk: [], waiting: 0, running: 0 };
  return { ...empty, busy, sequence, models };
}

function readyLedger(): BackendLedger {
  const ledger = new BackendLedger('x');
  ledger.applyReport(report(['old'], 0), 0);
  ledger.applyReport(report(['old'], 0), 1_000);
  return ledger;
}

function loadingLedger(): BackendLedger {
  const ledger = readyLedger();
  ledger.recordSent(LOAD);
  ledger.recordOutcome(LOAD, { type: 'accepted' }, 1_000, 1_500);
  return ledger;
}

describe('BackendLedger', () => {
  it('accepts no order until reports have shown the same sequence number for 400 ms', () => {
    const ledger = new BackendLedger('x');
    expect(ledger.applyReport(report(['old'], 3), 0)).toBe(false);
    expect(ledger.canSendModelOrder).toBe(false);
    expect(ledger.applyReport(report(['old', 'new'], 3), 400)).toBe(true);
    expect(ledger.canSendModelOrder).toBe(true);
  });

  it('keeps a load in progress when a report shows it finished but does not list the model', () => {
    const ledger = loadingLedger();
    expect(ledger.applyReport(report(['old'], 1), 2_500)).toBe(false);
    expect(ledger.currentOrder).toEqual(LOAD);
    expect(ledger.applyReport(report(['old', 'new'], 1), 2_650)).toBe(true);
    expect([...ledger.models.keys()]).toEqual(['old', 'new']);
  });

  it('keeps a model that the list has shown when a delayed report does not show it yet', () => {
    const ledger = loadingLedger();
    const listed = { models: report(['old', 'new'], 1).models, sequence: 1 } as BackendRecord;
    expect(ledger.applyListing(listed, 2_500)).toBe(true);
    ledger.applyReport(report(['old'], 1), 2_550);
    expect(ledger.models.has('new')).toBe(true);
  });

  it("assumes the previous owner's load in progress until a report disproves it", () => {
    const ledger = new BackendLedger('x');
    ledger.seedLoad('new', 5_000);
    expect(ledger.currentOrder).toEqual(LOAD);
    expect(ledger.canSendModelOrder).toBe(false);
    expect(ledger.applyReport(report(['old'], 3, true), 0)).toBe(false);
    expect(ledger.currentOrder).toEqual(LOAD);
    ledger.applyReport(report(['old'], 3), 1_000);
    expect(ledger.applyReport(report(['old'], 3), 1_400)).toBe(true);
    expect(ledger.currentOrder).toBeUndefined();
    expect(ledger.canSendModelOrder).toBe(true);
  });

  it("reserves memory for an order to the backend's previous process until it can no longer be accepted", () => {
    const host = hostOf(['old', 'new']);
    const previous = readyLedger();
    previous.recordSent(LOAD);
    previous.recordOutcome(LOAD, { type: 'unknown', reason: 'no answer' }, 1_000, 1_500);
    const restarted = new BackendLedger('x', 'two');
    restarted.reserveForLateOrders(previous.unansweredOrders(2_000));
    expect(restarted.usedMegabytes(host)).toBe(70);
    restarted.releaseExpiredOrders(11_000);
    expect(restarted.usedMegabytes(host)).toBe(0);
    restarted.reserveForLateOrders(previous.unansweredOrders(2_000));
    restarted.applyReport(report([], 1), 2_000);
    restarted.applyReport(report([], 1), 2_400);
    expect(restarted.usedMegabytes(host)).toBe(0);
  });

  it('rejects a report older than the last accepted order', () => {
    const ledger = loadingLedger();
    expect(ledger.applyReport(report(['old'], 0), 2_000)).toBe(false);
    expect(ledger.sequence).toBe(1);
  });
});
