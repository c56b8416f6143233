import { describe, expect, it } from 'vitest';
import { CapacityEstimate } from '../../../src/core/capacity/capacity-estimate.js';
import type { GapReport } from '../../../src/core/capacity/gap-samples.js';
import {
  normalizedSpeeds,
  SimulatedStreams,
  unequalLoad,
  type StreamLoad,
} from './simulated-streams.js';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);

/** Relative errors of the estimated speeds, in ascending order. */
function relativeErrors(simulation: SimulatedStreams): number[] {
  const view = simulation.estimate.view();
  const errors = [...normalizedSpeeds(simulation.load.speeds)].map(([id, speed]) => {
    return Math.abs(view.speedOf(id) / speed - 1);
  });
  return errors.sort((a, b) => a - b);
}

/** Quantile of the relative errors over all backends. @param share - 0 to 1. */
function errorQuantile(simulations: readonly SimulatedStreams[], share: number): number {
  const errors = simulations
    .flatMap((simulation) => relativeErrors(simulation))
    .sort((a, b) => a - b);
  return errors[Math.ceil(share * errors.length) - 1] ?? Infinity;
}

/** Simulates the load once for each seed. */
function simulate(milliseconds: number, part: Partial<StreamLoad> = {}): SimulatedStreams[] {
  return SEEDS.map((seed) => {
    const simulation = new SimulatedStreams(unequalLoad(12, part), seed);
    simulation.advance(milliseconds);
    return simulation;
  });
}

function reportOf(backend: string, model: string, gaps: number, gapMs: number): GapReport {
  const sample = { backend, model, gaps, logSum: gaps * Math.log(gapMs), pauseGoalMs: 200 };
  return { samples: [sample], pauseClasses: [] };
}

describe('CapacityEstimate', () => {
  it('estimates 95% of speeds within 15% after 3 s of load with slow periods, and 98% after 10 s', () => {
    expect(errorQuantile(simulate(3_000), 0.95)).toBeLessThan(0.15);
    expect(errorQuantile(simulate(10_000), 0.98)).toBeLessThan(0.15);
  });

  it('estimates the usual gaps of models within 20%', () => {
    const simulation = new SimulatedStreams(unequalLoad(12), 1);
    simulation.advance(3_000);
    for (const [model, pace] of Object.entries(simulation.load.paces)) {
      const gap = simulation.estimate.view().eventGapMs('b1', model) ?? 0;
      expect(Math.abs((gap * pace) / 40 - 1)).toBeLessThan(0.2);
    }
  });

  it('reports no speed differences between equal backends', () => {
    const speeds = Object.fromEntries(Array.from({ length: 12 }, (_, index) => [`b${index}`, 1]));
    const simulations = simulate(10_000, { speeds });
    expect(errorQuantile(simulations, 0.99)).toBe(0);
  });

  it('estimates speeds correctly when some models are rare', () => {
    const { held } = unequalLoad(12);
    const withRare = Object.entries(held).map(([id, models], index) => {
      return [id, [...models, `rare${index}`]] as const;
    });
    expect(
      errorQuantile(simulate(3_000, { held: Object.fromEntries(withRare) }), 0.95),
    ).toBeLessThan(0.15);
  });

  it('tolerates a daemon that reports wrong gaps', () => {
    const simulations = simulate(3_000);
    for (const simulation of simulations) {
      simulation.advance(7_000, (daemon, report) => {
        if (daemon !== 0) return report;
        const samples = report.samples.map((sample) => ({ ...sample, logSum: sample.gaps * 9 }));
        return { ...report, samples };
      });
    }
    expect(errorQuantile(simulations, 0.99)).toBeLessThan(0.15);
  });

  it.each([
    ['a gap count of NaN', reportOf('b', 'm', NaN, 50)],
    ['a negative gap count', reportOf('b', 'm', -4, 50)],
    ['a gap count of 0', reportOf('b', 'm', 0, 50)],
    ['an infinite gap', reportOf('b', 'm', 4, Infinity)],
    ['a gap of one day', reportOf('b', 'm', 4, 86_400_000)],
    ['a negative stream count', { samples: [], pauseClasses: [-1, 0, 0, 0, 0, 0, 0, 0] }],
  ])('drops %s', (_description, report) => {
    const estimate = new CapacityEstimate();
    expect(estimate.addReport('d', report, 0)).toBe(1);
    estimate.recompute(0);
    expect(estimate.figures.gaps.size).toBe(0);
  });

  it('estimates a restarted backend again from the usual speed', () => {
    const simulation = new SimulatedStreams(unequalLoad(12), 1);
    simulation.advance(3_000);
    expect(simulation.estimate.view().speedOf('b0')).toBeLessThan(0.75);
    simulation.restart('b0', 1.6);
    expect(simulation.estimate.view().speedOf('b0')).toBe(1);
    simulation.advance(6_000);
    expect(simulation.estimate.view().speedOf('b0')).toBeGreaterThan(1.3);
  });

  it('detects a temporarily slow backend and its recovery', () => {
    const simulation = new SimulatedStreams(unequalLoad(12), 1);
    simulation.slowTimes.push({ backend: 'b1', from: 10_000, until: 16_000, factor: 3 });
    simulation.advance(10_000);
    const before = simulation.estimate.view().speedOf('b1');
    simulation.advance(5_000);
    expect(simulation.estimate.view().speedOf('b1') / before).toBeLessThan(0.6);
    simulation.advance(8_000);
    expect(simulation.estimate.view().speedOf('b1') / before).toBeGreaterThan(0.8);
  });

  it('reports each speed change once', () => {
    const simulation = new SimulatedStreams(unequalLoad(12), 1);
    simulation.advance(3_000);
    let changes = 0;
    for (let round = 0; round < 120; round++) {
      simulation.advance(250);
      changes += simulation.estimate.recompute(simulation.now).length;
    }
    expect(changes).toBeLessThanOrEqual(12);
  });
});
