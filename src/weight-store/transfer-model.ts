/**
 * Model of a rate-limited store. It limits transfer starts per second and serves a
 * limited number of concurrent transfers at full speed; with more, the transfers share the bandwidth.
 * Performs no I/O; used by the weight store stand-in and the experiment model.
 */

/** The store's limits. */
export interface WeightStoreLimits {
  readonly loadsPerSecond: number;
  /** Number of concurrent transfers that each get the full speed. */
  readonly fullSpeedLoads: number;
  /** Bytes per second of one transfer at full speed. */
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
  /** Ids of finished transfers not yet returned by `advance`. */
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

  /** Cancels a transfer. */
  remove(id: number): void {
    for (const list of [this.waiting, this.active]) {
      const index = list.findIndex((transfer) => transfer.id === id);
      if (index >= 0) list.splice(index, 1);
    }
  }

  /** Advances the time to `now` and returns the ids of the transfers finished since the last call. */
  advance(now: number): number[] {
    this.progressTo(now);
    return this.finished.splice(0);
  }

  private progressTo(now: number): void {
    while (this.lastAdvance < now) {
      const stepEnd = Math.min(now, this.nextChange() ?? now);
      this.transferBytes(stepEnd - this.lastAdvance);
      this.lastAdvance = stepEnd;
      this.finished.push(...this.takeFinished());
      this.startWaiting(stepEnd);
    }
  }

  /** Advances the time without progress, to model a stalled store. */
  stall(now: number): void {
    this.lastAdvance = Math.max(this.lastAdvance, now);
  }

  /** Time at which the next transfer starts or ends; undefined if there are no transfers. */
  nextChange(): number | undefined {
    const times: number[] = [];
    if (this.waiting.length > 0) times.push(Math.max(this.nextStart, this.lastAdvance + 1));
    const leastRemaining = this.active.reduce(
      (minimum, transfer) => Math.min(minimum, transfer.remainingBytes),
      Infinity,
    );
    if (leastRemaining < Infinity)
      times.push(this.lastAdvance + Math.max(1, (leastRemaining / this.speed()) * 1000));
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Number of transfers waiting or in progress. */
  get size(): number {
    return this.waiting.length + this.active.length;
  }

  private speed(): number {
    const slowdown = Math.max(1, this.active.length / this.limits.fullSpeedLoads);
    return this.limits.bytesPerSecond / slowdown;
  }

  private transferBytes(milliseconds: number): void {
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
