/** The virtual clock of simulations whose code waits for turns of the event loop. */
import { vi } from 'vitest';

/**
 * Replaces timers, dates and immediates until `vi.useRealTimers()`. An immediate takes no virtual time: vitest's own one would advance
 * the clock by a millisecond for each turn of the event loop, which no idle process needs.
 */
export function useVirtualClock(): void {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'clearImmediate', 'performance', 'Date'],
  });
  const pending = new Set<object>();
  const schedule = (action: () => void): object => {
    const immediate = {};
    pending.add(immediate);
    queueMicrotask(() => {
      if (pending.delete(immediate)) action();
    });
    return immediate;
  };
  globalThis.setImmediate = schedule as unknown as typeof setImmediate;
  globalThis.clearImmediate = ((immediate: object) => {
    pending.delete(immediate);
  }) as typeof clearImmediate;
}
