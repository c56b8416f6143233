/**
 * Decides that somebody has been silent for too long. The time counts by the running clock, and the decision is made only after this
 * process has read what had arrived by then, because after a pause expired timers run before the sockets are read.
 */
import type { RunningClock } from '../common/running-clock.js';

/** A timer for one awaited sign of life. */
export class SilenceTimer {
  private timer: NodeJS.Timeout | undefined;
  private verdict: NodeJS.Immediate | undefined;

  /** @param onSilent - Called once for each {@link start}, unless {@link stop} is called before. */
  constructor(
    private readonly clock: Pick<RunningClock, 'now'>,
    private readonly onSilent: () => void,
  ) {}

  /** Starts to wait, anew if it waits already; an infinite limit waits forever. */
  start(limitMs: number): void {
    this.stop();
    if (Number.isFinite(limitMs)) this.schedule(this.clock.now() + limitMs);
  }

  /** Stops waiting. */
  stop(): void {
    clearTimeout(this.timer);
    clearImmediate(this.verdict);
  }

  private schedule(dueAt: number): void {
    this.timer = setTimeout(() => this.check(dueAt), Math.ceil(dueAt - this.clock.now()));
  }

  private check(dueAt: number): void {
    if (this.clock.now() < dueAt) return this.schedule(dueAt);
    // Immediates run after the sockets were read.
    this.verdict = setImmediate(this.onSilent);
  }
}
