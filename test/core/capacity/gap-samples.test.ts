import { describe, expect, it } from 'vitest';
import { GapSamples, type StreamGaps } from '../../../src/core/capacity/gap-samples.js';

/** Records reads of one event each, separated by the given gaps in milliseconds. */
function readAll(stream: StreamGaps, gaps: readonly number[]): void {
  let now = 0;
  stream.recordRead(1, now);
  for (const gap of gaps) stream.recordRead(1, (now += gap));
}

function usualGap(samples: GapSamples): number {
  const [sample] = samples.takeReport(0).samples;
  return sample === undefined ? NaN : Math.exp(sample.logSum / sample.gaps);
}

describe('GapSamples', () => {
  it('sums the gaps of a backend and model, and reports each gap once', () => {
    const samples = new GapSamples();
    const stream = samples.measureStream('b', 'm', 200);
    readAll(stream, [40, 40, 40]);
    stream.end();
    const [reported] = samples.takeReport(0).samples;
    expect(reported).toMatchObject({ backend: 'b', model: 'm', gaps: 3, pauseGoalMs: 200 });
    expect(Math.exp((reported?.logSum ?? 0) / 3)).toBeCloseTo(40);
    expect(samples.isDue(500)).toBe(false);
  });

  it('spreads a stall over the events that it delayed', () => {
    const samples = new GapSamples();
    const stream = samples.measureStream('b', 'm', 200);
    readAll(stream, [40, 40, 200, 0, 0.5, 0.5, 0.5, 40]);
    stream.end();
    expect(usualGap(samples)).toBeGreaterThan(38);
  });

  it('excludes the time in which the caller did not read', () => {
    const samples = new GapSamples();
    const stream = samples.measureStream('b', 'm', 200);
    stream.recordRead(1, 0);
    stream.recordRead(1, 40);
    stream.interrupt();
    stream.recordRead(1, 3_000);
    stream.recordRead(1, 3_040);
    stream.end();
    expect(usualGap(samples)).toBeCloseTo(40);
  });

  it('classifies a stream by the ratio of its longest pause to its usual gap', () => {
    const samples = new GapSamples();
    const stream = samples.measureStream('b', 'm', 200);
    readAll(stream, [...Array<number>(20).fill(60), 150, ...Array<number>(20).fill(60)]);
    stream.end();
    expect(samples.takeReport(0).pauseClasses).toEqual([0, 0, 0, 1, 0, 0, 0, 0]);
  });

  it('limits the number of samples per report and sends the rest with the next one', () => {
    const samples = new GapSamples();
    for (let index = 0; index < 60; index++) {
      const stream = samples.measureStream(`b${index}`, 'm', 200);
      readAll(stream, [40]);
      stream.end();
    }
    expect(samples.takeReport(0).samples).toHaveLength(48);
    expect(samples.takeReport(0).samples).toHaveLength(12);
  });
});
