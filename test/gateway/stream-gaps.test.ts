import { LOAD_POLICIES } from '../core/gateway-fixtures.js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { hostOf } from '../core/gateway-fixtures.js';
import {
  answerEvents,
  GatewayHarness,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';

const GAP_MS = 30;
const LAST_EVENT = 12;

describe('gaps between events', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  let added: { gaps: number; logSum: number }[];

  beforeEach(async () => {
    added = [];
    backend = new TestBackend('one', answerEvents(1, LAST_EVENT, GAP_MS));
    await backend.start();
    harness = await GatewayHarness.start({ policies: LOAD_POLICIES });
    const routes = [testRoute({ repeatability: 'resumable_stream', goalMs: 4_000 })];
    const services = [{ name: 'service', maxConnections: 100, modelHost: hostOf(['m']) }];
    harness.configure(testConfiguration({ routes, services }));
    harness.list([backend.record({ models: [{ name: 'm', adapters: [] }] })]);
    const samples = harness.gateway['context'].tracker.gapsOf('service');
    vi.spyOn(samples, 'add').mockImplementation((sample) => void added.push(sample));
  });

  afterEach(() => {
    harness.stop();
    backend.stop();
  });

  it('are recorded as the events arrive from the backend', async () => {
    const answer = await harness.call({ id: 'a', headers: { model: 'm' } });
    expect(answer.complete).toBe(true);
    const gaps = added.reduce((sum, sample) => sum + sample.gaps, 0);
    const logSum = added.reduce((sum, sample) => sum + sample.logSum, 0);
    // On a busy machine several events may arrive together and share one gap; the first event has no gap.
    expect(gaps).toBeGreaterThan(LAST_EVENT / 2);
    expect(gaps).toBeLessThan(LAST_EVENT);
    expect(Math.exp(logSum / gaps)).toBeGreaterThan(0.5 * GAP_MS);
  });

  it('are not recorded for a resumed stream', async () => {
    const headers = { model: 'm', 'last-event-id': '4' };
    expect((await harness.call({ id: 'a', headers })).complete).toBe(true);
    expect(added).toEqual([]);
  });
});
