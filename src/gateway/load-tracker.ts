/**
 * Tracks model loads from the order until they finish, for the log, the metrics
 * and the limit on concurrent loads from the weight store.
 */
import type { Logger } from '../common/logger.js';
import type { BackendLedger } from '../core/backend-ledger.js';
import type { WeightsLocation, PlannedOrder } from '../core/planning.js';
import type { StoreLoadLimit } from '../core/store-load-limit.js';
import { UnloadTimeEstimator } from '../core/unload-time-estimator.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** A load that was ordered and is not known to have finished. */
interface TrackedLoad {
  readonly model: string;
  readonly copy: WeightsLocation;
  readonly startedAt: number;
  readonly expectedMs: number;
}

/** An unload of a model in use that was ordered and is not known to have finished. */
interface TrackedUnload {
  readonly model: string;
  readonly startedAt: number;
}

/** Options of {@link LoadTracker}. */
export interface LoadTrackerOptions {
  readonly service: string;
  readonly epoch: number;
  readonly limit: StoreLoadLimit;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** Tracks the running loads at the backends of one service. A backend runs one load at a time. */
export class LoadTracker {
  readonly unloadTimes = new UnloadTimeEstimator();
  private readonly loads = new Map<string, TrackedLoad>();
  /** Unloads that wait for running requests to finish, by backend id. */
  private readonly unloads = new Map<string, TrackedUnload>();

  constructor(private readonly options: LoadTrackerOptions) {}

  /** Returns the expected remaining milliseconds of each load from the weight store. */
  storeLoadEnds(now: number): number[] {
    const ends: number[] = [];
    for (const { copy, startedAt, expectedMs } of this.loads.values()) {
      if (copy === 'store') ends.push(Math.max(0, startedAt + expectedMs - now));
    }
    return ends;
  }

  /** Records that a load or unload was ordered. */
  begin(planned: PlannedOrder, now: number): void {
    const { backend, order, copy, durationMs, reason } = planned;
    if (copy === undefined) return this.beginUnload(planned, now);
    const { service, epoch, limit, logger } = this.options;
    this.loads.set(backend, {
      model: order.model,
      copy,
      startedAt: now,
      expectedMs: durationMs,
    });
    if (copy === 'store') limit.begin(backend, durationMs, now);
    logger.info('load_started', {
      service,
      epoch,
      backend,
      model: order.model,
      copy,
      expectedMs: Math.round(durationMs),
      storeLoads: limit.runningCount(),
      storeLimit: Number.isFinite(limit.maxConcurrent) ? limit.maxConcurrent : undefined,
      reason,
    });
  }

  private beginUnload(planned: PlannedOrder, now: number): void {
    const { backend, order, durationMs } = planned;
    if (order.operation !== 'unload' || order.adapter !== undefined) return;
    const inUse = durationMs > this.unloadTimes.expected(false);
    if (inUse) this.unloads.set(backend, { model: order.model, startedAt: now });
  }

  private settleUnloads(ledgers: ReadonlyMap<string, BackendLedger>, now: number): void {
    for (const [backend, { model, startedAt }] of this.unloads) {
      const ledger = ledgers.get(backend);
      const current = ledger?.currentOrder;
      if (current?.operation === 'unload' && current.model === model) continue;
      this.unloads.delete(backend);
      const isDone = ledger?.phase === 'ready' && !ledger.models.has(model);
      if (isDone) this.unloadTimes.observeInUse(now - startedAt);
    }
  }

  /** Ends the loads and unloads of a restarted backend: they ended with its earlier process. */
  backendRestarted(backend: string, now: number): void {
    const load = this.loads.get(backend);
    if (load !== undefined) this.end(backend, load, 'backend_gone', now);
    this.unloads.delete(backend);
  }

  /** Ends the loads and unloads that have finished since the last call. */
  endFinished(ledgers: ReadonlyMap<string, BackendLedger>, now: number): void {
    this.settleUnloads(ledgers, now);
    for (const [backend, load] of this.loads) {
      const ledger = ledgers.get(backend);
      const outcome = ledger === undefined ? 'backend_gone' : outcomeOf(ledger, load.model);
      if (outcome !== undefined) this.end(backend, load, outcome, now);
    }
    this.options.limit.observe(now);
  }

  private end(backend: string, load: TrackedLoad, outcome: LoadOutcome, now: number): void {
    this.loads.delete(backend);
    const { service, epoch, limit, logger, metrics } = this.options;
    const milliseconds = now - load.startedAt;
    if (load.copy === 'store') limit.end(backend, outcome === 'loaded', now);
    if (outcome === 'loaded') {
      metrics.loadSeconds.observe({ copy: load.copy }, milliseconds / 1_000);
    }
    logger.info('load_finished', {
      service,
      epoch,
      backend,
      model: load.model,
      copy: load.copy,
      outcome,
      expectedMs: Math.round(load.expectedMs),
      milliseconds: Math.round(milliseconds),
      storeLoads: limit.runningCount(),
    });
  }
}

/** Result of a load. */
type LoadOutcome = 'loaded' | 'failed' | 'backend_gone';

/** Returns the result of a load; undefined while it may still be running. */
function outcomeOf(ledger: BackendLedger, model: string): LoadOutcome | undefined {
  const current = ledger.currentOrder;
  const isRunning = current?.operation === 'load' && current.model === model;
  if (isRunning || ledger.phase !== 'ready') return undefined;
  return ledger.models.has(model) ? 'loaded' : 'failed';
}
