/**
 * What the daemons' callers ask of the models of one service, gathered at its
 * owner. Pure; times are milliseconds of a steady clock.
 */
import { adapterKey } from './backend-ledger.js';
import type { ModelReference } from './service-configuration.js';
import type { DemandReport, DemandSample } from './demand-report.js';
import { earliestDueFirst, type WaitingOrder } from './waiting-order.js';

/** Time in which a rate falls to half without requests. */
export const RATE_HALF_LIFE_MS = 8_000;
/** A rate without requests for so many half-lives is dropped. */
const FORGOTTEN_HALF_LIVES = 12;
/** A daemon that tells of more failing backends than this share tells of its own links. */
const CREDIBLE_FAILING_SHARE = 0.1;
/** So many failing backends are believed in any case. */
const CREDIBLE_FAILING = 2;
/** A rate below this tells nothing of the next request. */
const LEAST_RATE = 0.001;
/** A daemon's report counts so long. */
const REPORT_LIFETIME_MS = 2_000;
/** A goal up to this long makes a request urgent: it does not leave time for a load. */
const URGENT_GOAL_MS = 2_500;

interface Rate extends ModelReference {
  urgent: number;
  patient: number;
  /** Shortest goal of those with time for a load, in milliseconds; undefined if there were none. */
  patientGoalMs: number | undefined;
  /** When its values were last worked out; reading does that too. */
  updatedAt: number;
  /** When the last request arrived. */
  arrivedAt: number;
}

interface HeardReport {
  readonly report: DemandReport;
  readonly heardAt: number;
}

/** Demand of all models and adapters of a service. */
export class ModelDemand {
  private readonly rates = new Map<string, Rate>();
  private readonly reports = new Map<string, HeardReport>();
  /** Since when requests for a model or adapter have been waiting. */
  private readonly waitingSince = new Map<string, number>();
  /**
   * Requests in flight summed over the reports: by backend, by model, and by
   * backend and model or adapter.
   */
  private readonly inFlightSums = new Map<string, number>();
  /** When reports were last looked through for old ones. */
  private expiredAt = -Infinity;
  /** The last answer of {@link waiting}; it holds for that moment until the next report. */
  private ranked: { readonly at: number; readonly samples: readonly DemandSample[] } | undefined;

  constructor(private readonly order: WaitingOrder = earliestDueFirst) {}

  /** Takes a daemon's report; it replaces that daemon's former one. */
  hear(report: DemandReport, now: number): void {
    this.forget(report.daemon);
    this.reports.set(report.daemon, { report, heardAt: now });
    this.sumUse(report, 1);
    this.ranked = undefined;
    for (const sample of report.samples) {
      if (sample.arrivals === 0) continue;
      const urgent = isUrgent(sample);
      this.arrived(sample, sample, urgent, now);
      if (sample.adapter !== undefined) {
        this.arrived({ model: sample.model, adapter: undefined }, sample, urgent, now);
      }
    }
  }

  /** A backend has started again: the requests that daemons had in flight there ended with its earlier start. */
  forgetBackend(backend: string): void {
    for (const [daemon, { report, heardAt }] of this.reports) {
      const ended = report.use.filter((use) => use.backend === backend);
      if (ended.length === 0 && !report.failing.includes(backend)) continue;
      this.sumUse({ ...report, use: ended }, -1);
      const use = report.use.filter((entry) => entry.backend !== backend);
      const failing = report.failing.filter((name) => name !== backend);
      this.reports.set(daemon, { report: { ...report, use, failing }, heardAt });
    }
  }

  /** What waits for a backend now, in the order of attention. */
  waiting(now: number): readonly DemandSample[] {
    if (this.ranked?.at !== now) this.ranked = { at: now, samples: this.rankWaiting(now) };
    return this.ranked.samples;
  }

  private rankWaiting(now: number): DemandSample[] {
    const sums = new Map<string, DemandSample>();
    for (const { report, heardAt } of this.fresh(now)) {
      for (const sample of report.samples) {
        if (sample.waiting === 0) continue;
        const dueInMs = sample.dueInMs - (now - heardAt);
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
    const awaited = [...sums].map(([key, sample]) => {
      const since = this.waitingSince.get(key) ?? now;
      this.waitingSince.set(key, since);
      const rate = Math.max(LEAST_RATE, this.rateOf(sample, now));
      const nextDueInMs = 1_000 / rate + sample.goalMs;
      return { sample, since, waitedMs: now - since, nextDueInMs };
    });
    return awaited.sort(this.order).map(({ sample }) => sample);
  }

  /** Models for which requests have been waiting for a time, with or without a backend that holds them. */
  awaitedFor(milliseconds: number, now: number): Set<string> {
    const models = this.waiting(now).filter((sample) => {
      const since = this.waitingSince.get(adapterKey(sample)) ?? now;
      return now - since >= milliseconds;
    });
    return new Set(models.map((sample) => sample.model));
  }

  /** Backends that daemons say fail, whatever their own health answers and reports say. */
  failingBackends(listed: number, now: number): Set<string> {
    const mostCredible = Math.max(CREDIBLE_FAILING, listed * CREDIBLE_FAILING_SHARE);
    const credible = this.fresh(now).filter(({ report }) => report.failing.length <= mostCredible);
    return new Set(credible.flatMap(({ report }) => report.failing));
  }

  /** Requests in flight for a model, its adapters included, or for one adapter, at a backend. */
  inFlight(backend: string, reference: ModelReference, now: number): number {
    this.expire(now);
    return this.inFlightSums.get(useKey(backend, reference)) ?? 0;
  }

  /** Models, without their adapters, that have had urgent requests lately. */
  urgentModels(now: number): string[] {
    const models: string[] = [];
    for (const [key, rate] of this.rates) {
      if (rate.adapter !== undefined) continue;
      if (this.isForgotten(rate, now)) this.rates.delete(key);
      else if (rate.urgent > 0) models.push(rate.model);
    }
    return models;
  }

  /** Requests in flight at a backend, over all models. */
  inFlightAt(backend: string, now: number): number {
    this.expire(now);
    return this.inFlightSums.get(backend) ?? 0;
  }

  /** Requests in flight for a model, its adapters included, at all backends. */
  inFlightOf(model: string, now: number): number {
    this.expire(now);
    return this.inFlightSums.get(modelKey(model)) ?? 0;
  }

  /** Urgent requests a second, smoothed. */
  urgentRate(reference: ModelReference, now: number): number {
    return this.decayed(reference, now)?.urgent ?? 0;
  }

  /** Requests a second, smoothed. */
  rateOf(reference: ModelReference, now: number): number {
    return this.urgentRate(reference, now) + this.patientRate(reference, now);
  }

  /** Requests a second for the adapters of each model, smoothed. */
  adapterRates(now: number): Map<string, number> {
    const rates = new Map<string, number>();
    for (const rate of this.rates.values()) {
      if (rate.adapter === undefined) continue;
      rates.set(rate.model, (rates.get(rate.model) ?? 0) + this.rateOf(rate, now));
    }
    return rates;
  }

  /** Requests a second over all models, smoothed. */
  totalRate(now: number): number {
    let total = 0;
    for (const rate of this.rates.values()) {
      if (rate.adapter === undefined) total += this.rateOf(rate, now);
    }
    return total;
  }

  /** Requests a second with time for a load, smoothed. */
  patientRate(reference: ModelReference, now: number): number {
    return this.decayed(reference, now)?.patient ?? 0;
  }

  /** Shortest goal of the callers with time for a load, in milliseconds; undefined if there were none. */
  patientGoalMs(reference: ModelReference): number | undefined {
    return this.rates.get(adapterKey(reference))?.patientGoalMs;
  }

  private arrived(
    reference: ModelReference,
    sample: DemandSample,
    urgent: boolean,
    now: number,
  ): void {
    const rate = this.decayed(reference, now) ?? newRate(reference, now);
    // An impulse of this height, decaying by the half-life, has an area of `count`.
    const impulse = (sample.arrivals * Math.LN2 * 1000) / RATE_HALF_LIFE_MS;
    rate.arrivedAt = now;
    if (urgent) rate.urgent += impulse;
    else {
      rate.patient += impulse;
      rate.patientGoalMs = Math.min(sample.goalMs, rate.patientGoalMs ?? Infinity);
    }
    this.rates.set(adapterKey(reference), rate);
  }

  private decayed(reference: ModelReference, now: number): Rate | undefined {
    const rate = this.rates.get(adapterKey(reference));
    if (rate === undefined) return undefined;
    const factor = 0.5 ** ((now - rate.updatedAt) / RATE_HALF_LIFE_MS);
    rate.urgent *= factor;
    rate.patient *= factor;
    rate.updatedAt = now;
    return rate;
  }

  /** Whether a rate has fallen so low that it decides nothing any more. */
  private isForgotten(rate: Rate, now: number): boolean {
    return now - rate.arrivedAt > FORGOTTEN_HALF_LIVES * RATE_HALF_LIFE_MS;
  }

  private fresh(now: number): HeardReport[] {
    this.expire(now);
    return [...this.reports.values()];
  }

  /** Reports of daemons that have fallen silent count no longer. */
  private expire(now: number): void {
    if (now === this.expiredAt) return;
    this.expiredAt = now;
    for (const [daemon, heard] of this.reports) {
      if (now - heard.heardAt > REPORT_LIFETIME_MS) this.forget(daemon);
    }
  }

  private forget(daemon: string): void {
    const heard = this.reports.get(daemon);
    if (heard === undefined) return;
    this.reports.delete(daemon);
    this.sumUse(heard.report, -1);
  }

  private sumUse(report: DemandReport, sign: 1 | -1): void {
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
    patient: 0,
    patientGoalMs: undefined,
    updatedAt: now,
    arrivedAt: now,
  };
}

function isUrgent(sample: DemandSample): boolean {
  return sample.goalMs <= URGENT_GOAL_MS;
}
