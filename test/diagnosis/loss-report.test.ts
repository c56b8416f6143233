import { describe, expect, it } from 'vitest';
import { parseLogLine, type LogEvent } from '../../src/diagnosis/log-line.js';
import { lossReport } from '../../src/diagnosis/loss-report.js';

function eventsOf(...lines: readonly string[]): LogEvent[] {
  return lines.flatMap((line) => parseLogLine(line) ?? []);
}

function lineAt(seconds: number, rest: string): string {
  const time = new Date(1_000_000_000_000 + seconds * 1_000).toISOString();
  return `time=${time} level=info daemon=d ${rest}`;
}

const refused = (seconds: number, model: string, rest: string): string =>
  lineAt(seconds, `event=refused route=r model=${model} kind=no_capacity ${rest}`);
const loaded = (seconds: number, model: string, copy: string, milliseconds: number): string =>
  lineAt(
    seconds,
    `event=load_finished model=${model} copy=${copy} outcome=loaded milliseconds=${milliseconds}`,
  );

describe('parseLogLine', () => {
  it('parses quoted values and ignores text before the first pair', () => {
    const [event] = eventsOf(`  12.5 some-host ${lineAt(1, 'event=order reason="room for x"')}`);
    expect(event?.event).toBe('order');
    expect(event?.fields.get('reason')).toBe('room for x');
  });

  it('returns no event for a line without an event name or a valid time', () => {
    expect(eventsOf('Error: x', 'time=now event=x', '')).toEqual([]);
  });
});

describe('lossReport', () => {
  it('derives the causes of refusals from the next load of the model', () => {
    const report = lossReport(
      eventsOf(
        refused(1, 'disk', 'readyInMs=3000 hasComeBack=0'),
        refused(1, 'store', 'readyInMs=6000 hasComeBack=0'),
        refused(1, 'coming', 'readyInMs=500 hasComeBack=0'),
        refused(1, 'unknown', 'hasComeBack=0'),
        refused(1, 'nowhere', 'readyInMs=9000 hasComeBack=1'),
        loaded(4.5, 'disk', 'disk', 800),
        loaded(7.2, 'store', 'store', 6_000),
        loaded(1.5, 'coming', 'disk', 800),
        loaded(4, 'unknown', 'disk', 800),
      ),
    );
    expect(Object.fromEntries(report.refusals.get('r') ?? [])).toEqual({
      'copy at hand, backend busy': 1,
      'only in the weight store': 1,
      'load under way': 1,
      'no forecast': 1,
      'never loaded (came back)': 1,
    });
    expect(report.forecastErrors.get('store')).toEqual({ count: 1, p50: 200, p95: 200 });
    expect(report.loads.get('disk')).toEqual({ count: 3, p50: 800, p95: 800 });
  });

  it('distinguishes refusals for unknown keys, exceeded limits and an unconfirmed configuration', () => {
    const report = lossReport(
      eventsOf(
        lineAt(1, 'event=not_admitted route=r kind=unauthorized fingerprint=0a1b2c3d'),
        lineAt(1, 'event=not_admitted route=r kind=not_ready'),
        lineAt(1, 'event=refused route=r kind=rate_limited tenant=a'),
      ),
    );
    expect(Object.fromEntries(report.refusals.get('r') ?? [])).toEqual({
      'key not known': 1,
      'configuration or limit not known': 1,
      "over its tenant's limit": 1,
    });
  });

  it('distinguishes streams with a late first part from streams with long pauses', () => {
    const ended = (rest: string): string =>
      lineAt(1, `event=request_ended route=r end=served goalMs=600 ${rest}`);
    const report = lossReport(
      eventsOf(
        ended('firstPartMs=100 longestPauseMs=50 pauseGoalMs=300'),
        ended('firstPartMs=100 longestPauseMs=301 pauseGoalMs=300'),
        ended('firstPartMs=700 longestPauseMs=400 pauseGoalMs=300'),
        ended('firstPartMs=700'),
      ),
    );
    expect(Object.fromEntries(report.streams.get('r') ?? [])).toEqual({
      'in time': 1,
      paused: 1,
      'first part late': 1,
    });
  });

  it('counts outcomes, and measures the time to the first part of served requests only', () => {
    const ended = (end: string, rest = ''): string =>
      lineAt(1, `event=request_ended route=r end=${end} ${rest}`);
    const report = lossReport(
      eventsOf(
        ended('served', 'firstPartMs=90'),
        ended('refused', 'firstPartMs=1'),
        ended('served'),
      ),
    );
    expect(Object.fromEntries(report.ends.get('r') ?? [])).toEqual({ served: 2, refused: 1 });
    expect(report.firstPart.get('r')).toEqual({ count: 1, p50: 90, p95: 90 });
  });
});
