import { describe, expect, it } from 'vitest';
import {
  AdmissionPlay,
  recordLoad,
  shareInAim,
  shareServed,
  type Outcome,
  type Way,
} from './admission-ways.js';

const SLOTS = 8;
/** The table in docs/design uses the first seed. */
const SEEDS = [37, 1];

function line(way: Way, name: string, { inAim, late, refused }: Outcome): string {
  return `| ${way} | ${name} | ${inAim} | ${late} | ${refused} |`;
}

function table(way: Way, simulation: AdmissionPlay): string[] {
  const rows = [...simulation.byKind, ...simulation.byTenant].map(([name, outcome]) =>
    line(way, name, outcome),
  );
  return [...rows, line(way, 'largest tenth of patient', simulation.largest)];
}

describe.each(SEEDS)('the same load under three admission policies (seed %i)', (seed) => {
  const load = recordLoad(seed);
  const simulations = new Map<Way, AdmissionPlay>();
  const simulationOf = (way: Way): AdmissionPlay => {
    const simulation = simulations.get(way) ?? new AdmissionPlay(way, load).play();
    simulations.set(way, simulation);
    return simulation;
  };

  it('counts every request in exactly one result', () => {
    for (const way of ['alone', 'leases', 'queue'] as const) {
      const simulation = simulationOf(way);
      const ended = [...simulation.byKind.values()].reduce(
        (sum, { inAim, late, refused }) => sum + inAim + late + refused,
        0,
      );
      console.log(
        [
          `seed ${seed}, ${way}: most in flight ${simulation.mostInFlight}, messages ${simulation.messages}`,
        ]
          .concat(table(way, simulation))
          .join('\n'),
      );
      expect(ended).toBe(load.length);
    }
  });

  it('exceeds the slots when daemons decide alone, but not with one queue', () => {
    expect(simulationOf('queue').mostInFlight).toBe(SLOTS);
    expect(simulationOf('alone').mostInFlight).toBeGreaterThan(SLOTS);
  });

  it('is served within the goal more often with a queue, by kind and tenant', () => {
    for (const name of ['urgent', 'patient']) {
      const alone = simulationOf('alone').byKind.get(name)!;
      const queue = simulationOf('queue').byKind.get(name)!;
      expect(shareInAim(queue)).toBeGreaterThan(shareInAim(alone));
    }
    const usual = (way: Way): Outcome => simulationOf(way).byTenant.get('the four usual')!;
    expect(shareInAim(usual('queue'))).toBeGreaterThan(shareInAim(usual('alone')));
    expect(shareInAim(usual('queue'))).toBeGreaterThan(shareInAim(usual('leases')));
  });

  it('serves the largest requests of a kind more than half as often as the kind on average', () => {
    const simulation = simulationOf('queue');
    expect(shareServed(simulation.largest)).toBeGreaterThan(
      shareServed(simulation.byKind.get('patient')!) / 2,
    );
  });
});
