/**
 * How a rate-limited store serves transfers: it starts at most so many a second,
 * and serves so many at once at full speed; more than that share the speed.
 * Pure; the stand-in and the experiment model both run it.
 */

/** The store's limits. */
export interface WeightStoreLimits {
  readonly loadsPerSecond: number;
  /** Transfers at once that each get the full speed. */
  readonly fullSpeedLoads: number;
  /** Bytes a second of one transfer at full speed. */
  readonly bytesPerSecond: number;
}

interface Transfer {
  readonly id: number;
  remainingBytes: number;
}

/** Transfers in progress and waiting. Times are in milliseconds. */
export class TransferModel {
  private readonly waiting: Transfer[] = [];
  private readonly active: Transfer[] = [];
  /** Ended, and not yet told by `advance`. */
  private readonly finished: number[] = [];
  private lastAdvance: number;
  private nextStart: number;

  constructor(
    private readonly limits: WeightStoreLimits,
    now: number,
  ) {
    this.lastAdvance = now;
    this.nextStart = now;
  }

  /** Queues a transfer. */
  add(id: number, bytes: number, now: number): void {
    this.progressTo(now);
    this.waiting.push({ id, remainingBytes: Math.max(1, bytes) });
    this.startWaiting(now);
  }

  /** Gives a transfer up. */
  remove(id: number): void {
    for (const list of [this.waiting, this.active]) {
      const index = list.findIndex((transfer) => transfer.id === id);
      if (index >= 0) list.splice(index, 1);
    }
  }

  /** Moves time on and returns the transfers that have ended by `now`. */
  advance(now: number): number[] {
    this.progressTo(now);
    return this.finished.splice(0);
  }

  private progressTo(now: number): void {
    while (this.lastAdvance < now) {
      const stepEnd = Math.min(now, this.nextChange() ?? now);
      this.progress(stepEnd - this.lastAdvance);
      this.lastAdvance = stepEnd;
      this.finished.push(...this.takeFinished());
      this.startWaiting(stepEnd);
    }
  }

  /** Pushes the model's time on without any progress, as a stalled store does. */
  stall(now: number): void {
    this.lastAdvance = Math.max(this.lastAdvance, now);
  }

  /** When the next transfer starts or ends; undefined when nothing is to come. */
  nextChange(): number | undefined {
    const times: number[] = [];
    if (this.waiting.length > 0) times.push(Math.max(this.nextStart, this.lastAdvance + 1));
    const least = this.active.reduce((low, t) => Math.min(low, t.remainingBytes), Infinity);
    if (least < Infinity) times.push(this.lastAdvance + Math.max(1, (least / this.speed()) * 1000));
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Transfers waiting or in progress. */
  get size(): number {
    return this.waiting.length + this.active.length;
  }

  private speed(): number {
    const crowd = Math.max(1, this.active.length / this.limits.fullSpeedLoads);
    return this.limits.bytesPerSecond / crowd;
  }

  private progress(milliseconds: number): void {
    const bytes = (this.speed() * milliseconds) / 1000;
    for (const transfer of this.active) transfer.remainingBytes -= bytes;
  }

  private takeFinished(): number[] {
    const done = this.active.filter((transfer) => transfer.remainingBytes <= 1e-6);
    for (const transfer of done) this.active.splice(this.active.indexOf(transfer), 1);
    return done.map((transfer) => transfer.id);
  }

  private startWaiting(now: number): void {
    while (this.waiting.length > 0 && this.nextStart <= now) {
      const next = this.waiting.shift();
      if (next !== undefined) this.active.push(next);
      this.nextStart = Math.max(this.nextStart, now) + 1000 / this.limits.loadsPerSecond;
    }
  }
}
