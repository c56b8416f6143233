/**
 * Follows the loads of models from the order to the end: for the log, for the
 * metrics, and for the limit of loads from the weight store.
 */
import type { Logger } from '../common/logger.js';
import type { BackendLedger } from '../core/backend-ledger.js';
import type { CopyPlace } from '../core/load-place.js';
import type { PlannedOrder } from '../core/placement-planner.js';
import type { StoreLoadLimit } from '../core/store-load-limit.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** A load that was ordered and is not known to have ended. */
interface WatchedLoad {
  readonly model: string;
  readonly copy: CopyPlace;
  readonly startedAt: number;
  readonly expectedMs: number;
}

/** Options of {@link LoadWatch}. */
export interface LoadWatchOptions {
  readonly service: string;
  readonly epoch: number;
  readonly limit: StoreLoadLimit;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** The loads under way at the backends of one service; a backend carries out one at a time. */
export class LoadWatch {
  private readonly loads = new Map<string, WatchedLoad>();

  constructor(private readonly options: LoadWatchOptions) {}

  /** Milliseconds until each load from the weight store is expected to end. */
  storeLoadEnds(now: number): number[] {
    const ends: number[] = [];
    for (const { copy, startedAt, expectedMs } of this.loads.values()) {
      if (copy === 'store') ends.push(Math.max(0, startedAt + expectedMs - now));
    }
    return ends;
  }

  /** A load has been ordered. */
  begin(planned: PlannedOrder, now: number): void {
    const { backend, order, copy, durationMs, reason } = planned;
    if (copy === undefined) return;
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
      storeLoads: limit.running(),
      storeLimit: Number.isFinite(limit.most) ? limit.most : undefined,
      reason,
    });
  }

  /** Finds the loads that have ended since the last look. */
  settle(ledgers: ReadonlyMap<string, BackendLedger>, now: number): void {
    for (const [backend, load] of this.loads) {
      const ledger = ledgers.get(backend);
      const outcome = ledger === undefined ? 'backend_gone' : outcomeOf(ledger, load.model);
      if (outcome !== undefined) this.end(backend, load, outcome, now);
    }
    this.options.limit.observe(now);
  }

  private end(backend: string, load: WatchedLoad, outcome: LoadOutcome, now: number): void {
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
      storeLoads: limit.running(),
    });
  }
}

/** How a load has ended. */
type LoadOutcome = 'loaded' | 'failed' | 'backend_gone';

/** Undefined while it may still be under way. */
function outcomeOf(ledger: BackendLedger, model: string): LoadOutcome | undefined {
  const current = ledger.currentOrder;
  const isUnderWay = current?.operation === 'load' && current.model === model;
  if (isUnderWay || ledger.phase !== 'ready') return undefined;
  return ledger.models.has(model) ? 'loaded' : 'failed';
}
