import { describe, expect, it } from 'vitest';
import {
  AdmissionSimulation,
  recordLoad,
  shareWithinGoal,
  shareServed,
  type ResultCounts,
  type AdmissionPolicy,
} from './admission-policies.js';

const SLOTS = 8;
/** The table in docs/design uses the first seed. */
const SEEDS = [37, 1];

function line(
  way: AdmissionPolicy,
  name: string,
  { withinGoal: inAim, late, refused }: ResultCounts,
): string {
  return `| ${way} | ${name} | ${inAim} | ${late} | ${refused} |`;
}

function table(way: AdmissionPolicy, simulation: AdmissionSimulation): string[] {
  const rows = [...simulation.byKind, ...simulation.byTenant].map(([name, outcome]) =>
    line(way, name, outcome),
  );
  return [...rows, line(way, 'largest tenth of patient', simulation.largestTenth)];
}

describe.each(SEEDS)('the same load under three admission policies (seed %i)', (seed) => {
  const load = recordLoad(seed);
  const simulations = new Map<AdmissionPolicy, AdmissionSimulation>();
  const simulationOf = (way: AdmissionPolicy): AdmissionSimulation => {
    const simulation = simulations.get(way) ?? new AdmissionSimulation(way, load).simulate();
    simulations.set(way, simulation);
    return simulation;
  };

  it('counts every request in exactly one result', () => {
    for (const way of ['alone', 'leases', 'queue'] as const) {
      const simulation = simulationOf(way);
      const ended = [...simulation.byKind.values()].reduce(
        (sum, { withinGoal: inAim, late, refused }) => sum + inAim + late + refused,
        0,
      );
      console.log(
        [
          `seed ${seed}, ${way}: most in flight ${simulation.maxInFlight}, messages ${simulation.messages}`,
        ]
          .concat(table(way, simulation))
          .join('\n'),
      );
      expect(ended).toBe(load.length);
    }
  });

  it('exceeds the slots when daemons decide alone, but not with one queue', () => {
    expect(simulationOf('queue').maxInFlight).toBe(SLOTS);
    expect(simulationOf('alone').maxInFlight).toBeGreaterThan(SLOTS);
  });

  it('is served within the goal more often with a queue, by kind and tenant', () => {
    for (const name of ['urgent', 'patient']) {
      const alone = simulationOf('alone').byKind.get(name)!;
      const queue = simulationOf('queue').byKind.get(name)!;
      expect(shareWithinGoal(queue)).toBeGreaterThan(shareWithinGoal(alone));
    }
    const usual = (way: AdmissionPolicy): ResultCounts =>
      simulationOf(way).byTenant.get('the four usual')!;
    expect(shareWithinGoal(usual('queue'))).toBeGreaterThan(shareWithinGoal(usual('alone')));
    expect(shareWithinGoal(usual('queue'))).toBeGreaterThan(shareWithinGoal(usual('leases')));
  });

  it('serves the largest requests of a kind more than half as often as the kind on average', () => {
    const simulation = simulationOf('queue');
    expect(shareServed(simulation.largestTenth)).toBeGreaterThan(
      shareServed(simulation.byKind.get('patient')!) / 2,
    );
  });
});
