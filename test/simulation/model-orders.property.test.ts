/**
 * Simulated histories of a service's owners and backends: replies are lost, orders arrive late, and
 * owners are replaced at any time while the former owner still sends orders.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { BackendLedger } from '../../src/core/backend-ledger.js';
import { ModelDemand } from '../../src/core/model-demand.js';
import { DEFAULT_POLICIES } from '../../src/core/policies.js';
import { UnloadTimeEstimator } from '../../src/core/unload-time-estimator.js';
import { PlacementPlanner } from '../../src/core/placement-planner.js';
import { hostOf, demandSampleOf } from '../core/gateway-fixtures.js';
import { SimulatedBackend, type OrderDelivery } from './simulated-backend.js';

const MODELS = ['a', 'b', 'c', 'd', 'e', 'f'];
const HOST = hostOf(MODELS);
const STEP_MS = 200;

/** One owner with its own view of the backends. */
class SimulatedOwner {
  private readonly ledgers: BackendLedger[];
  private readonly planner = new PlacementPlanner();
  private readonly demand = new ModelDemand();
  fenced = false;

  constructor(
    private readonly epoch: number,
    private readonly backends: readonly SimulatedBackend[],
  ) {
    this.ledgers = backends.map((backend) => new BackendLedger(backend.id));
  }

  step(wanted: readonly string[], fate: () => OrderDelivery, now: number): void {
    if (this.fenced) return;
    for (const [index, ledger] of this.ledgers.entries()) {
      const report = this.backends[index]?.report(fate() === 'earlier_answer');
      if (report !== undefined && (ledger.phase !== 'ready' || ledger.running !== undefined)) {
        ledger.applyReport(report, now);
      }
    }
    const samples = wanted.map((model) => demandSampleOf(model));
    this.demand.applyReport({ daemon: 'daemon', samples, use: [], failing: [] }, now);
    const input = { host: HOST, backends: this.ledgers, demand: this.demand, now };
    for (const planned of this.planner.plan({
      ...input,
      storeLoads: 1,
      storeSlotWaitsMs: [0],
      unloadTimes: new UnloadTimeEstimator(),
      policies: DEFAULT_POLICIES,
    })) {
      const ledger = this.ledgers.find((candidate) => candidate.id === planned.backend);
      const backend = this.backends.find((candidate) => candidate.id === planned.backend);
      if (ledger === undefined || backend === undefined) continue;
      const expectedSequence = ledger.sequence;
      ledger.recordSent(planned.order);
      const { epoch } = this;
      const fence = { holder: String(epoch), epoch, expectedSequence, maySend: () => true };
      const outcome = backend.order(planned.order, fence, fate(), now);
      if (outcome.type === 'fenced') this.fenced = true;
      ledger.recordOutcome(planned.order, outcome, now, planned.durationMs);
    }
  }
}

const FATES: readonly OrderDelivery[] = ['answered', 'answered', 'answer_lost', 'late', 'lost'];

/** Returns arbitrary histories whose orders have the given fates. */
function historiesOf(fates: readonly OrderDelivery[]): fc.Arbitrary<HistoryStep[]> {
  return fc.array(
    fc.record({
      wanted: fc.uniqueArray(fc.constantFrom(...MODELS), { maxLength: 4 }),
      fate: fc.constantFrom(...fates),
      takeover: fc.boolean(),
    }),
    { minLength: 10, maxLength: 60 },
  );
}

interface HistoryStep {
  readonly wanted: readonly string[];
  readonly fate: OrderDelivery;
  readonly takeover: boolean;
}

describe('orders of owners', () => {
  it.each([
    ['orders are lost or late, or the owner changes', FATES],
    [
      'second answers are taken for the answers to later orders and reports as well',
      [...FATES, 'earlier_answer', 'earlier_answer'] as const,
    ],
  ])('never overcommit the memory of a backend when %s', (_, fates) => {
    fc.assert(
      fc.property(historiesOf(fates), (history) => {
        const backends = [
          new SimulatedBackend('x', HOST, ['a', 'b']),
          new SimulatedBackend('y', HOST, ['c']),
        ];
        const owners = [new SimulatedOwner(1, backends)];
        let now = 0;
        for (const { wanted, fate, takeover } of history) {
          now += STEP_MS;
          for (const backend of backends) backend.advance(now);
          if (takeover) owners.push(new SimulatedOwner(owners.length + 1, backends));
          // A former owner that has not detected its replacement continues in parallel with its successors.
          for (const owner of owners) owner.step(wanted, () => fate, now);
          for (const backend of backends) {
            expect(backend.overcommitted, backend.id).toBe(false);
            expect(backend.usedMegabytes()).toBeLessThanOrEqual(HOST.megabytes);
          }
        }
      }),
      { numRuns: 2_000 },
    );
  });

  it('load the requested model when replies arrive', () => {
    const backends = [new SimulatedBackend('x', HOST, ['a', 'b'])];
    const owner = new SimulatedOwner(1, backends);
    for (let now = 0; now < 6_000; now += STEP_MS) {
      backends[0]?.advance(now);
      owner.step(['e'], () => 'answered', now);
    }
    expect(backends[0]?.models.has('e')).toBe(true);
  });
});
