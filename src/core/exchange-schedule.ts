/**
 * Schedules a member's full state exchanges with other members: often while
 * exchanges bring new information, rarely while they do not. Pure; times are
 * milliseconds of a monotonic clock.
 */
import { rendezvousWeight } from '../common/rendezvous.js';

/** Interval between exchanges while they bring new members: one round of the group's growth. */
const MIN_PERIOD_MS = 300;
/** Maximum interval between exchanges; they repair what probes and incremental updates missed. */
const MAX_PERIOD_MS = 30_000;
/** Range of the random variation of a period, as a share of it, so that members do not exchange in lockstep. */
const JITTER_SHARE = 0.3;
const WEIGHT_RANGE = 2 ** 32;

/** Exchange schedule of one member. */
export class ExchangeSchedule {
  private periodMs = MIN_PERIOD_MS;
  private dueAt = -Infinity;
  private jitterCount = 0;
  private hasNewMembers = true;

  /** @param self - Name of this member; seeds the jitter. */
  constructor(private readonly self: string) {}

  /** Shortens the period after an exchange brought new members, or when members are known to be missing. */
  recordNewMembers(now: number): void {
    this.hasNewMembers = true;
    if (this.periodMs === MIN_PERIOD_MS) return;
    this.periodMs = MIN_PERIOD_MS;
    this.dueAt = Math.min(this.dueAt, now + this.jittered(MIN_PERIOD_MS));
  }

  /** Whether an exchange is due. */
  isDue(now: number): boolean {
    return now >= this.dueAt;
  }

  /** Records the start of an exchange and sets the time of the next one. */
  begin(now: number): void {
    this.periodMs = this.hasNewMembers ? MIN_PERIOD_MS : Math.min(MAX_PERIOD_MS, this.periodMs * 2);
    this.hasNewMembers = false;
    this.dueAt = now + this.jittered(this.periodMs);
  }

  private jittered(periodMs: number): number {
    this.jitterCount += 1;
    const share = rendezvousWeight(this.self, String(this.jitterCount)) / WEIGHT_RANGE;
    return periodMs * (1 + JITTER_SHARE * (share - 0.5));
  }
}
