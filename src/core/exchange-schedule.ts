/**
 * When a member exchanges all that it knows with another one: often while that
 * teaches it something, rarely when it does not. Pure; times are milliseconds of a
 * steady clock.
 */
import { rendezvousWeight } from '../common/rendezvous.js';

/** Between two exchanges of a member that still learns: a round of the group's growth. */
const SHORTEST_PERIOD_MS = 300;
/** Between two exchanges that teach nothing; they mend what probes and news have missed. */
const LONGEST_PERIOD_MS = 30_000;
/** A period differs by up to this share between members, so that they don't act in step. */
const JITTER_SHARE = 0.3;
const LARGEST_WEIGHT = 2 ** 32;

/** Paces the exchanges of one member. */
export class ExchangeSchedule {
  private periodMs = SHORTEST_PERIOD_MS;
  private dueAt = -Infinity;
  private count = 0;
  private learned = true;

  /** @param self - Name that the jitter comes from. */
  constructor(private readonly self: string) {}

  /** New members were met in an exchange, or there are some to meet. */
  noteLearned(now: number): void {
    this.learned = true;
    if (this.periodMs === SHORTEST_PERIOD_MS) return;
    this.periodMs = SHORTEST_PERIOD_MS;
    this.dueAt = Math.min(this.dueAt, now + this.jittered(SHORTEST_PERIOD_MS));
  }

  isDue(now: number): boolean {
    return now >= this.dueAt;
  }

  /** An exchange begins: sets the time of the next one. */
  begin(now: number): void {
    this.periodMs = this.learned
      ? SHORTEST_PERIOD_MS
      : Math.min(LONGEST_PERIOD_MS, this.periodMs * 2);
    this.learned = false;
    this.dueAt = now + this.jittered(this.periodMs);
  }

  private jittered(periodMs: number): number {
    this.count += 1;
    const share = rendezvousWeight(this.self, String(this.count)) / LARGEST_WEIGHT;
    return periodMs * (1 + JITTER_SHARE * (share - 0.5));
  }
}
