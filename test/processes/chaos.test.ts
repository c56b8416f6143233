import { describe, expect, it } from 'vitest';
import { runScenario } from '../../src/chaos/chaos-run.js';
import { SCENARIOS } from '../../src/chaos/scenarios.js';

/**
 * A short subset of `npm run chaos`; scenarios that depend on the machine's speed run only there.
 */
const SHORT_SCENARIOS = ['owner-killed', 'streams-cut'];

describe.each(SHORT_SCENARIOS)('scenario %s on real processes', (name) => {
  it('violates no guarantee of the service', async () => {
    const scenario = SCENARIOS.find((candidate) => candidate.name === name);
    if (scenario === undefined) throw new Error(`no scenario ${name}`);
    const { findings, served } = await runScenario(scenario, 3);
    expect(served).toBeGreaterThan(0);
    expect(findings).toMatchObject({
      replicasBeyondDecided: 0,
      memoryBeyondCapacity: 0,
      requestsWithoutEnd: 0,
      wrongAnswers: 0,
      falseNotRun: 0,
      repeatedRuns: 0,
      workForLeaving: 0,
      streamsCutByPlannedStop: 0,
      reversions: 0,
    });
  });
});
