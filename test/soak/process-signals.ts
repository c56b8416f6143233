/**
 * Records of the signals that a soak sends to gateway processes and of how these processes end. They tell whether a play
 * has sent SIGHUP to a process that did not catch it yet: such a process ends, since that is the default action.
 */
import { readFileSync } from 'node:fs';
import { constants } from 'node:os';

/** A signal that was sent to a gateway. */
export interface SentSignal {
  readonly gateway: string;
  readonly signal: NodeJS.Signals;
  /** Undefined if the gateway had no process at that moment. */
  readonly pid: number | undefined;
  /** Time since the start of the gateway's last process. */
  readonly ageMs: number;
  /**
   * Whether the process had a handler just before the signal was sent. It says nothing about SIGTERM and SIGINT, which Node
   * itself catches before it runs a program, only to end the process.
   */
  readonly wasCaught: boolean;
}

/** How a process of a gateway ended. */
export interface ProcessExit {
  readonly gateway: string;
  /** Null if a signal ended the process. */
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Time since the start of the process. */
  readonly ageMs: number;
  /** Whether a fault or stop of the soak caused it. */
  readonly isExpected: boolean;
}

/** What a play has met of signals to processes that start. */
export interface SignalsAtStart {
  /** Number of SIGHUPs that were sent to a process. */
  readonly hangups: number;
  /** Age of the youngest of these processes; undefined without any. */
  readonly youngestMs: number | undefined;
  /** The SIGHUPs among them that the process did not catch yet. */
  readonly notCaught: readonly Pick<SentSignal, 'gateway' | 'ageMs'>[];
  /** Processes that SIGTERM or SIGINT ended in place of their own handler, which exits with 0. */
  readonly endedByStop: readonly Pick<ProcessExit, 'gateway' | 'ageMs'>[];
}

/** Whether a process has a handler for a signal, by its status in /proc; false if the process has ended. */
export function catchesSignal(pid: number, signal: NodeJS.Signals): boolean {
  const [, caught = '0'] = /^SigCgt:\t([0-9a-f]+)$/m.exec(readStatus(pid)) ?? [];
  const bit = 1n << BigInt(constants.signals[signal] - 1);
  return (BigInt(`0x${caught}`) & bit) !== 0n;
}

function readStatus(pid: number): string {
  try {
    return readFileSync(`/proc/${pid}/status`, 'utf8');
  } catch {
    return '';
  }
}

/** Summarizes the signals and exits of all gateways of a play. */
export function signalsAtStart(
  sent: readonly SentSignal[],
  exits: readonly ProcessExit[],
): SignalsAtStart {
  const hangups = sent.filter(({ signal, pid }) => signal === 'SIGHUP' && pid !== undefined);
  return {
    hangups: hangups.length,
    youngestMs: hangups.length === 0 ? undefined : Math.min(...hangups.map((each) => each.ageMs)),
    notCaught: hangups
      .filter(({ wasCaught }) => !wasCaught)
      .map(({ gateway, ageMs }) => ({ gateway, ageMs })),
    endedByStop: exits
      .filter(({ signal }) => signal === 'SIGTERM' || signal === 'SIGINT')
      .map(({ gateway, ageMs }) => ({ gateway, ageMs })),
  };
}

/** Describes an exit in one line. */
export function describeExit({ gateway, code, signal, ageMs }: ProcessExit): string {
  const end = signal === null ? `code ${code}` : signal;
  return `${gateway}: ${end}, ${ageMs} ms after its start`;
}
