import { describe, expect, it } from 'vitest';
import {
  catchesSignal,
  describeExit,
  signalsAtStart,
  type ProcessExit,
  type SentSignal,
} from './process-signals.js';

const HANGUP: SentSignal = { gateway: 'g', signal: 'SIGHUP', pid: 7, ageMs: 500, wasCaught: true };
const EXIT: ProcessExit = { gateway: 'g', code: 0, signal: null, ageMs: 9_000, isExpected: true };

describe('records of signals', () => {
  it('tell whether a process has a handler', () => {
    const handler = (): void => {};
    expect(catchesSignal(process.pid, 'SIGUSR2')).toBe(false);
    process.on('SIGUSR2', handler);
    expect(catchesSignal(process.pid, 'SIGUSR2')).toBe(true);
    process.off('SIGUSR2', handler);
    expect(catchesSignal(process.pid, 'SIGUSR2')).toBe(false);
  });

  it('tell of no handler where there is no process', () => {
    expect(catchesSignal(0, 'SIGHUP')).toBe(false);
  });

  it('count each SIGHUP to a process, and list those that it did not catch', () => {
    const early = { ...HANGUP, gateway: 'early', ageMs: 20, wasCaught: false };
    const withoutProcess = { ...HANGUP, pid: undefined, ageMs: 3, wasCaught: false };
    const stop = { ...HANGUP, signal: 'SIGTERM', ageMs: 1 } as const;
    expect(signalsAtStart([HANGUP, early, withoutProcess, stop], [])).toEqual({
      hangups: 2,
      youngestMs: 20,
      notCaught: [{ gateway: 'early', ageMs: 20 }],
      endedByStop: [],
    });
  });

  it('list the processes that a stop signal ended before they handled it', () => {
    const ended = { ...EXIT, code: null, signal: 'SIGTERM', ageMs: 25 } as const;
    const killed = { ...ended, signal: 'SIGKILL' } as const;
    expect(signalsAtStart([], [EXIT, ended, killed])).toEqual({
      hangups: 0,
      youngestMs: undefined,
      notCaught: [],
      endedByStop: [{ gateway: 'g', ageMs: 25 }],
    });
  });

  it('name the gateway, the end and the age of an exit', () => {
    const crash = { ...EXIT, code: 1, ageMs: 422 };
    const ended = { ...EXIT, code: null, signal: 'SIGHUP', ageMs: 36 } as const;
    expect(describeExit(crash)).toBe('g: code 1, 422 ms after its start');
    expect(describeExit(ended)).toBe('g: SIGHUP, 36 ms after its start');
  });
});
