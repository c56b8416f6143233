/**
 * Demand for the models of one service, aggregated by its owner from the daemons' reports.
 * Pure; times are milliseconds of a monotonic clock.
 */
import { adapterKey } from './backend-ledger.js';
import type { ModelReference } from './service-configuration.js';
import type { DemandReport, DemandSample } from './demand-report.js';
import { earliestDueFirst, type WaitingModelComparator } from './waiting-model-comparators.js';

/** Time in which a rate falls to half its value without requests. */
export const RATE_HALF_LIFE_MS = 8_000;
/** Number of half-lives without requests after which a rate is dropped. */
const RATE_EXPIRY_HALF_LIVES = 12;
/**
 * A daemon that reports more than this share of the backends as failing probably has faulty links
 * itself, so its list is ignored.
 */
const MAX_CREDIBLE_FAILING_SHARE = 0.1;
/** Number of failing backends per report that is always accepted. */
const ALWAYS_CREDIBLE_FAILING = 2;
/** Lowest rate, in requests per second, used to predict the next request. */
const MIN_RATE_PER_SECOND = 0.001;
/** Milliseconds after which a daemon's report expires. */
const REPORT_LIFETIME_MS = 2_000;
/** Longest latency goal of an urgent request, which leaves no time for a load. */
const MAX_URGENT_GOAL_MS = 2_500;

interface Rate extends ModelReference {
  urgent: number;
  delayTolerant: number;
  /**
   * Shortest latency goal of requests with time for a load, in milliseconds; undefined if there
   * were none.
   */
  delayTolerantGoalMs: number | undefined;
  /** Time of the last decay of the values; reading them also decays them. */
  updatedAt: number;
  /** Arrival time of the last request. */
  arrivedAt: number;
}

interface ReceivedReport {
  readonly report: DemandReport;
  readonly receivedAt: number;
}

/** Demand for all models and adapters of a service. */
export class ModelDemand {
  private readonly rates = new Map<string, Rate>();
  private readonly reports = new Map<string, ReceivedReport>();
  /** Time since which requests for a model or adapter have been waiting. */
  private readonly waitingSince = new Map<string, number>();
  /**
   * Requests in flight, summed over the reports and indexed by backend, by model, and by
   * backend and model or adapter.
   */
  private readonly inFlightSums = new Map<string, number>();
  /** Time at which expired reports were last removed. */
  private lastExpiryAt = -Infinity;
  /** Cached result of {@link waiting} for one moment; cleared by the next report. */
  private ranked: { readonly at: number; readonly samples: readonly DemandSample[] } | undefined;

  constructor(private readonly order: WaitingModelComparator = earliestDueFirst) {}

  /** Applies a daemon's report, replacing its previous one. */
  applyReport(report: DemandReport, now: number): void {
    this.removeReport(report.daemon);
    this.reports.set(report.daemon, { report, receivedAt: now });
    this.addUse(report, 1);
    this.ranked = undefined;
    for (const sample of report.samples) {
      if (sample.arrivals === 0) continue;
      const urgent = isUrgent(sample);
      this.recordArrivals(sample, sample, urgent, now);
      if (sample.adapter !== undefined) {
        this.recordArrivals({ model: sample.model, adapter: undefined }, sample, urgent, now);
      }
    }
  }

  /**
   * Removes a restarted backend from the reports: the requests in flight there ended with its
   * previous process.
   */
  removeBackend(backend: string): void {
    for (const [daemon, { report, receivedAt }] of this.reports) {
      const ended = report.use.filter((use) => use.backend === backend);
      if (ended.length === 0 && !report.failing.includes(backend)) continue;
      this.addUse({ ...report, use: ended }, -1);
      const use = report.use.filter((entry) => entry.backend !== backend);
      const failing = report.failing.filter((name) => name !== backend);
      this.reports.set(daemon, { report: { ...report, use, failing }, receivedAt });
    }
  }

  /**
   * Models and adapters that requests are waiting for, in the order in which loads should be
   * planned.
   */
  waiting(now: number): readonly DemandSample[] {
    if (this.ranked?.at !== now) this.ranked = { at: now, samples: this.rankWaiting(now) };
    return this.ranked.samples;
  }

  private rankWaiting(now: number): DemandSample[] {
    const sums = new Map<string, DemandSample>();
    for (const { report, receivedAt } of this.currentReports(now)) {
      for (const sample of report.samples) {
        if (sample.waiting === 0) continue;
        const dueInMs = sample.dueInMs - (now - receivedAt);
        const key = adapterKey(sample);
        const before = sums.get(key);
        const waiting = sample.waiting + (before?.waiting ?? 0);
        const goalMs = Math.min(sample.goalMs, before?.goalMs ?? Infinity);
        const first = Math.min(dueInMs, before?.dueInMs ?? Infinity);
        sums.set(key, { ...sample, waiting, goalMs, dueInMs: first });
      }
    }
    for (const key of this.waitingSince.keys()) {
      if (!sums.has(key)) this.waitingSince.delete(key);
    }
    const waitingModels = [...sums].map(([key, sample]) => {
      const since = this.waitingSince.get(key) ?? now;
      this.waitingSince.set(key, since);
      const rate = Math.max(MIN_RATE_PER_SECOND, this.rateOf(sample, now));
      const nextDueInMs = 1_000 / rate + sample.goalMs;
      return { sample, waitingSince: since, waitedMs: now - since, nextDueInMs };
    });
    return waitingModels.sort(this.order).map(({ sample }) => sample);
  }

  /**
   * Models for which requests have been waiting for at least `milliseconds`, whether or not a
   * backend has them loaded.
   */
  modelsWaitingFor(milliseconds: number, now: number): Set<string> {
    const models = this.waiting(now).filter((sample) => {
      const since = this.waitingSince.get(adapterKey(sample)) ?? now;
      return now - since >= milliseconds;
    });
    return new Set(models.map((sample) => sample.model));
  }

  /**
   * Backends that daemons report as failing, regardless of the backends' own health checks and
   * reports; `listed` is the number of backends.
   */
  failingBackends(listed: number, now: number): Set<string> {
    const maxCredible = Math.max(ALWAYS_CREDIBLE_FAILING, listed * MAX_CREDIBLE_FAILING_SHARE);
    const credible = this.currentReports(now).filter(
      ({ report }) => report.failing.length <= maxCredible,
    );
    return new Set(credible.flatMap(({ report }) => report.failing));
  }

  /** Requests in flight at a backend for one adapter, or for a model including its adapters. */
  inFlight(backend: string, reference: ModelReference, now: number): number {
    this.expireReports(now);
    return this.inFlightSums.get(useKey(backend, reference)) ?? 0;
  }

  /** Models, without adapters, that recently had urgent requests. */
  urgentModels(now: number): string[] {
    const models: string[] = [];
    for (const [key, rate] of this.rates) {
      if (rate.adapter !== undefined) continue;
      if (this.isExpired(rate, now)) this.rates.delete(key);
      else if (rate.urgent > 0) models.push(rate.model);
    }
    return models;
  }

  /** Requests in flight at a backend, over all models. */
  inFlightAt(backend: string, now: number): number {
    this.expireReports(now);
    return this.inFlightSums.get(backend) ?? 0;
  }

  /** Requests in flight at all backends for a model, including its adapters. */
  inFlightOf(model: string, now: number): number {
    this.expireReports(now);
    return this.inFlightSums.get(modelKey(model)) ?? 0;
  }

  /** Smoothed rate of urgent requests per second. */
  urgentRate(reference: ModelReference, now: number): number {
    return this.decayed(reference, now)?.urgent ?? 0;
  }

  /** Smoothed rate of all requests per second. */
  rateOf(reference: ModelReference, now: number): number {
    return this.urgentRate(reference, now) + this.delayTolerantRate(reference, now);
  }

  /** Smoothed rate of requests per second for the adapters of each model. */
  adapterRates(now: number): Map<string, number> {
    const rates = new Map<string, number>();
    for (const rate of this.rates.values()) {
      if (rate.adapter === undefined) continue;
      rates.set(rate.model, (rates.get(rate.model) ?? 0) + this.rateOf(rate, now));
    }
    return rates;
  }

  /** Smoothed rate of requests per second over all models. */
  totalRate(now: number): number {
    let total = 0;
    for (const rate of this.rates.values()) {
      if (rate.adapter === undefined) total += this.rateOf(rate, now);
    }
    return total;
  }

  /** Smoothed rate of requests per second whose latency goal leaves time for a load. */
  delayTolerantRate(reference: ModelReference, now: number): number {
    return this.decayed(reference, now)?.delayTolerant ?? 0;
  }

  /**
   * Shortest latency goal that leaves time for a load, in milliseconds; undefined if there was no
   * such request.
   */
  delayTolerantGoalMs(reference: ModelReference): number | undefined {
    return this.rates.get(adapterKey(reference))?.delayTolerantGoalMs;
  }

  private recordArrivals(
    reference: ModelReference,
    sample: DemandSample,
    urgent: boolean,
    now: number,
  ): void {
    const rate = this.decayed(reference, now) ?? newRate(reference, now);
    // An impulse of this height that decays with the half-life has an area equal to the arrivals.
    const impulse = (sample.arrivals * Math.LN2 * 1000) / RATE_HALF_LIFE_MS;
    rate.arrivedAt = now;
    if (urgent) rate.urgent += impulse;
    else {
      rate.delayTolerant += impulse;
      rate.delayTolerantGoalMs = Math.min(sample.goalMs, rate.delayTolerantGoalMs ?? Infinity);
    }
    this.rates.set(adapterKey(reference), rate);
  }

  private decayed(reference: ModelReference, now: number): Rate | undefined {
    const rate = this.rates.get(adapterKey(reference));
    if (rate === undefined) return undefined;
    const factor = 0.5 ** ((now - rate.updatedAt) / RATE_HALF_LIFE_MS);
    rate.urgent *= factor;
    rate.delayTolerant *= factor;
    rate.updatedAt = now;
    return rate;
  }

  /** Whether the last request is so old that the rate no longer affects decisions. */
  private isExpired(rate: Rate, now: number): boolean {
    return now - rate.arrivedAt > RATE_EXPIRY_HALF_LIVES * RATE_HALF_LIFE_MS;
  }

  private currentReports(now: number): ReceivedReport[] {
    this.expireReports(now);
    return [...this.reports.values()];
  }

  /** Removes reports that are older than {@link REPORT_LIFETIME_MS}. */
  private expireReports(now: number): void {
    if (now === this.lastExpiryAt) return;
    this.lastExpiryAt = now;
    for (const [daemon, received] of this.reports) {
      if (now - received.receivedAt > REPORT_LIFETIME_MS) this.removeReport(daemon);
    }
  }

  private removeReport(daemon: string): void {
    const received = this.reports.get(daemon);
    if (received === undefined) return;
    this.reports.delete(daemon);
    this.addUse(received.report, -1);
  }

  private addUse(report: DemandReport, sign: 1 | -1): void {
    for (const use of report.use) {
      const { backend, model, adapter, inFlight } = use;
      this.add(backend, sign * inFlight);
      this.add(modelKey(model), sign * inFlight);
      this.add(useKey(backend, { model, adapter: undefined }), sign * inFlight);
      if (adapter !== undefined) this.add(useKey(backend, use), sign * inFlight);
    }
  }

  private add(key: string, change: number): void {
    const sum = (this.inFlightSums.get(key) ?? 0) + change;
    if (sum === 0) this.inFlightSums.delete(key);
    else this.inFlightSums.set(key, sum);
  }
}

function modelKey(model: string): string {
  return `* ${model}`;
}

function useKey(backend: string, reference: ModelReference): string {
  return `${backend} ${adapterKey(reference)}`;
}

function newRate(reference: ModelReference, now: number): Rate {
  const { model, adapter } = reference;
  return {
    model,
    adapter,
    urgent: 0,
    delayTolerant: 0,
    delayTolerantGoalMs: undefined,
    updatedAt: now,
    arrivedAt: now,
  };
}

function isUrgent(sample: DemandSample): boolean {
  return sample.goalMs <= MAX_URGENT_GOAL_MS;
}
