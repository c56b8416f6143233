/**
 * Limits what an unexpected exception ends. Code that the event loop calls for one piece of work runs inside the
 * boundary of that work: an exception there is passed to the fault handler of the work, and the process and all
 * other work go on. The handler must end the work and report the exception; a boundary never discards one.
 */
import type { FaultHandler } from './process.js';

/** The boundary of one piece of work, such as one caller's request. */
export class FaultBoundary {
  constructor(private readonly onFault: FaultHandler) {}

  /** Runs an action at once. */
  run(action: () => void): void {
    try {
      action();
    } catch (fault) {
      this.onFault(fault);
    }
  }

  /** Returns a callback for timers, events and other modules that runs inside the boundary. */
  guard<Arguments extends unknown[]>(
    callback: (...passed: Arguments) => void,
  ): (...passed: Arguments) => void {
    return (...passed) => this.run(() => callback(...passed));
  }

  /** Passes the rejection of a promise that nothing awaits to the fault handler. */
  watch(promise: Promise<unknown>): void {
    promise.catch(this.onFault);
  }
}
