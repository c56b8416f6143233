/** Seeded simulation of a service's streams: backends differ in speed and have short slow periods. */
import { CapacityEstimate } from '../../../src/core/capacity/capacity-estimate.js';
import { GapSamples, type GapReport } from '../../../src/core/capacity/gap-samples.js';
import { SeededRandom } from '../../soak/seeded-random.js';

/** Interval between two reports of a daemon, and between two fits by the owner. */
const REPORT_MS = 250;
const USUAL_GAP_MS = 40;
const SLOW_PERIOD_MS = 600;
const SLOW_PERIOD_SHARE = 0.15;
const SLOW_PERIOD_FACTOR = 2.5;
const PAUSE_GOAL_MS = 200;

/** Parameters of the load. */
export interface StreamLoad {
  readonly speeds: Record<string, number>;
  readonly paces: Readonly<Record<string, number>>;
  /** Models that each backend holds. */
  readonly held: Readonly<Record<string, readonly string[]>>;
  readonly daemons: number;
  /** Streams that start per second at each backend for each of its models. */
  readonly rate: number;
  readonly eventsEach: number;
}

/** A period during which a backend is slow, in addition to its short slow periods. */
export interface SlowTime {
  readonly backend: string;
  readonly from: number;
  readonly until: number;
  readonly factor: number;
}

interface Read {
  readonly backend: string;
  readonly at: number;
  readonly apply: () => void;
}

/** Simulates a load and feeds the daemons' reports to an owner's estimate. */
export class SimulatedStreams {
  readonly estimate = new CapacityEstimate();
  readonly random: SeededRandom;
  now = 0;
  /** Number of finished streams, and of those among them that paused for longer than their goal. */
  streams = 0;
  late = 0;
  private readonly samples: GapSamples[];
  private readonly slowPeriodEnds = new Map<string, number[]>();
  /** Slow periods; add each one before it starts. */
  readonly slowTimes: SlowTime[] = [];
  private reads: Read[] = [];

  constructor(
    readonly load: StreamLoad,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.samples = Array.from({ length: load.daemons }, () => new GapSamples());
  }

  /**
   * Advances the simulation by the given time.
   *
   * @param alter - Replaces a daemon's report before the owner receives it.
   */
  advance(
    milliseconds: number,
    alter: (daemon: number, report: GapReport) => GapReport = (_daemon, report) => report,
  ): void {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += REPORT_MS;
      this.beginStreams();
      const due = this.reads.filter((read) => read.at <= this.now);
      this.reads = this.reads.filter((read) => read.at > this.now);
      due.sort((a, b) => a.at - b.at);
      for (const read of due) read.apply();
      for (const [daemon, samples] of this.samples.entries()) {
        if (!samples.isDue(this.now)) continue;
        this.estimate.addReport(
          `d${daemon}`,
          alter(daemon, samples.takeReport(this.now)),
          this.now,
        );
      }
      this.estimate.recompute(this.now);
    }
  }

  /** Starts a stream, whose events take effect as the simulation advances. Returns the time at which it ends. */
  beginStream(backend: string, model: string, startsAt: number): number {
    const daemon = Math.floor(this.random.between(0, this.load.daemons));
    const gaps = this.samples[daemon]?.measureStream(backend, model, PAUSE_GOAL_MS);
    const usual = USUAL_GAP_MS / ((this.load.speeds[backend] ?? 1) * (this.load.paces[model] ?? 1));
    let [at, longest] = [startsAt, 0];
    for (let event = 0; event < this.load.eventsEach; event++) {
      const readAt = at;
      this.reads.push({ backend, at, apply: () => gaps?.recordRead(1, readAt) });
      const slow = this.slowness(backend, at);
      const gap = usual * slow * this.random.between(0.9, 1.1);
      if (event + 1 < this.load.eventsEach) longest = Math.max(longest, gap);
      at += gap;
    }
    const endsAt = at;
    this.reads.push({
      backend,
      at: endsAt,
      apply: () => this.endStream(longest, () => gaps?.end()),
    });
    return endsAt;
  }

  private endStream(longestMs: number, end: () => void): void {
    end();
    this.streams += 1;
    if (longestMs > PAUSE_GOAL_MS) this.late += 1;
  }

  private beginStreams(): void {
    for (const [backend, models] of Object.entries(this.load.held)) {
      for (const model of models) {
        const expected = (this.load.rate * REPORT_MS) / 1_000;
        let count = Math.floor(expected) + (this.random.chance(expected % 1) ? 1 : 0);
        for (; count > 0; count--) {
          this.beginStream(backend, model, this.now - this.random.between(0, REPORT_MS));
        }
      }
    }
  }

  /** Restarts a backend's process at another speed; its running streams are lost. */
  restart(backend: string, speed: number): void {
    this.reads = this.reads.filter((read) => read.backend !== backend);
    this.estimate.forget(backend);
    this.load.speeds[backend] = speed;
  }

  private slowness(backend: string, at: number): number {
    const slowdown = this.isInSlowPeriod(backend, at) ? SLOW_PERIOD_FACTOR : 1;
    const slowTime = this.slowTimes.find((time) => {
      return time.backend === backend && at >= time.from && at < time.until;
    });
    return slowdown * (slowTime?.factor ?? 1);
  }

  /** Whether a backend is in a short slow period. They start at random and take {@link SLOW_PERIOD_SHARE} of the time on average. */
  private isInSlowPeriod(backend: string, at: number): boolean {
    const ends = this.slowPeriodEnds.get(backend) ?? [];
    this.slowPeriodEnds.set(backend, ends);
    while ((ends.at(-1) ?? 0) <= at) {
      const idleMs = this.random.between(
        0,
        (2 * SLOW_PERIOD_MS * (1 - SLOW_PERIOD_SHARE)) / SLOW_PERIOD_SHARE,
      );
      ends.push((ends.at(-1) ?? 0) + idleMs + SLOW_PERIOD_MS);
    }
    return ends.some((end) => at < end && at >= end - SLOW_PERIOD_MS);
  }
}

/** Scales the true speeds so that their geometric mean is 1. */
export function normalizedSpeeds(speeds: Readonly<Record<string, number>>): Map<string, number> {
  const logs = Object.values(speeds).map((speed) => Math.log(speed));
  const mean = logs.reduce((sum, log) => sum + log, 0) / logs.length;
  return new Map(Object.entries(speeds).map(([id, speed]) => [id, speed / Math.exp(mean)]));
}

/** Load on backends with three alternating speeds, each with two of three models. */
export function unequalLoad(backends: number, part: Partial<StreamLoad> = {}): StreamLoad {
  const speeds: Record<string, number> = {};
  const held: Record<string, readonly string[]> = {};
  const pairs = [
    ['slow', 'fast'],
    ['middle', 'slow'],
    ['fast', 'middle'],
    ['slow', 'middle'],
  ];
  for (let index = 0; index < backends; index++) {
    const id = `b${index}`;
    speeds[id] = [0.6, 1, 1.6][index % 3] ?? 1;
    held[id] = pairs[index % pairs.length] ?? [];
  }
  const paces = { slow: 0.25, middle: 0.35, fast: 1 };
  return { speeds, paces, held, daemons: 6, rate: 4, eventsEach: 40, ...part };
}
