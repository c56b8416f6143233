import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SimulatedProofs, type ProofOutcome } from './simulated-proofs.js';

/** The operators' 5,000 ms less the margin of a send. */
const LEASE_MS = 4_500;
/** Calls to the store a second that do not grow with the number of daemons. */
const FEW_CALLS = 5;

function print(name: string, outcome: ProofOutcome): void {
  if (process.env.PROOFS_TABLE === undefined) return;
  const { withoutLease, greatestAgeMs, storeCallsPerSecond, bytesPerSecond } = outcome;
  const calls = storeCallsPerSecond.toFixed(1);
  const bytes = bytesPerSecond.toFixed(0);
  const row = `${name}: without lease ${(withoutLease * 100).toFixed(2)}%, age ${greatestAgeMs} ms`;
  process.stdout.write(`${row}, store calls/s ${calls}, bytes/s a daemon ${bytes}\n`);
}

describe('proofs that the configuration is current', () => {
  beforeEach(() =>
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
  );
  afterEach(() => vi.useRealTimers());

  async function settled(count: number, asksPeers = true): Promise<SimulatedProofs> {
    const group = new SimulatedProofs(count, asksPeers, LEASE_MS);
    await group.play(4);
    group.resetCounts();
    return group;
  }

  it.each([30, 87, 300])('reach %i daemons with few calls to the store', async (count) => {
    const group = await settled(count);
    await group.play(6);
    print(`${count} calm`, group.outcome());
    expect(group.outcome().withoutLease).toBe(0);
    expect(group.outcome().greatestAgeMs).toBeLessThan(3_500);
    expect(group.outcome().storeCallsPerSecond).toBeLessThan(FEW_CALLS);
  });

  it('reach all when the store turns the readers away', async () => {
    const group = await settled(87);
    const away = new Set(group.readers());
    group.answers = (daemon) => !away.has(daemon);
    await group.play(9);
    print('87, readers turned away', group.outcome());
    expect(group.outcome().withoutLease).toBe(0);
  });

  it('reach all when the store turns a third of the daemons away', async () => {
    const group = await settled(87);
    group.answers = (daemon) => daemon % 3 !== 0;
    await group.play(9);
    print('87, a third turned away', group.outcome());
    expect(group.outcome().withoutLease).toBe(0);
  });

  it('reach all over links that lose a fifth of the datagrams', async () => {
    const group = await settled(87);
    group.lossShare = 0.2;
    await group.play(9);
    print('87, a fifth of datagrams lost', group.outcome());
    expect(group.outcome().withoutLease).toBeLessThan(0.005);
  });

  it('end with the store, and are back within a second of it, without a storm of calls', async () => {
    const group = await settled(87);
    group.answers = () => false;
    await group.play(10);
    print('87, store away', group.outcome());
    expect(group.outcome().storeCallsPerSecond).toBeLessThan(30);
    group.answers = () => true;
    await group.play(4);
    group.resetCounts();
    await group.play(1);
    expect(group.outcome().withoutLease).toBe(0);
  });

  it('cost a call each without peers', async () => {
    const group = await settled(87, false);
    await group.play(6);
    print('87 calm, each its own reader', group.outcome());
    group.resetCounts();
    group.answers = (daemon) => daemon % 3 !== 0;
    await group.play(9);
    print('87, a third turned away, each its own reader', group.outcome());
    expect(group.outcome().withoutLease).toBeGreaterThan(0.1);
  });
});
