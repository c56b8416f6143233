import { describe, expect, it } from 'vitest';
import { GapSamples, type StreamGaps } from '../../../src/core/capacity/gap-samples.js';

/** Reads of one event each, so many milliseconds after one another. */
function readAll(stream: StreamGaps, gaps: readonly number[]): void {
  let now = 0;
  stream.noteRead(1, now);
  for (const gap of gaps) stream.noteRead(1, (now += gap));
}

function usualGap(samples: GapSamples): number {
  const [sample] = samples.take(0).samples;
  return sample === undefined ? NaN : Math.exp(sample.logSum / sample.gaps);
}

describe('GapSamples', () => {
  it('sums the gaps of a pair, and tells each once', () => {
    const samples = new GapSamples();
    const stream = samples.watch('b', 'm', 200);
    readAll(stream, [40, 40, 40]);
    stream.end();
    const [told] = samples.take(0).samples;
    expect(told).toMatchObject({ backend: 'b', model: 'm', gaps: 3, pauseGoalMs: 200 });
    expect(Math.exp((told?.logSum ?? 0) / 3)).toBeCloseTo(40);
    expect(samples.isDue(500)).toBe(false);
  });

  it('shares a stall of its own out over the events that it held up', () => {
    const samples = new GapSamples();
    const stream = samples.watch('b', 'm', 200);
    readAll(stream, [40, 40, 200, 0, 0.5, 0.5, 0.5, 40]);
    stream.end();
    expect(usualGap(samples)).toBeGreaterThan(38);
  });

  it('leaves the time out in which the caller did not read', () => {
    const samples = new GapSamples();
    const stream = samples.watch('b', 'm', 200);
    stream.noteRead(1, 0);
    stream.noteRead(1, 40);
    stream.interrupt();
    stream.noteRead(1, 3_000);
    stream.noteRead(1, 3_040);
    stream.end();
    expect(usualGap(samples)).toBeCloseTo(40);
  });

  it('tells how much longer than usual the longest pause of a stream was', () => {
    const samples = new GapSamples();
    const stream = samples.watch('b', 'm', 200);
    readAll(stream, [...Array<number>(20).fill(60), 150, ...Array<number>(20).fill(60)]);
    stream.end();
    expect(samples.take(0).pauseClasses).toEqual([0, 0, 0, 1, 0, 0, 0, 0]);
  });

  it('tells a bounded number of pairs at once, and the others later', () => {
    const samples = new GapSamples();
    for (let index = 0; index < 60; index++) {
      const stream = samples.watch(`b${index}`, 'm', 200);
      readAll(stream, [40]);
      stream.end();
    }
    expect(samples.take(0).samples).toHaveLength(48);
    expect(samples.take(0).samples).toHaveLength(12);
  });
});
