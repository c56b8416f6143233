/** Decides whether a request that no backend can take now is held or refused, and measures how long it was held. */
import type { HoldDecision } from '../core/hold-policy.js';
import type { RouteMatch } from '../core/routing-table.js';
import type { BackendRecord, ModelReference } from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';
import { modelReadyInMs } from './model-forecast.js';
import { steadyNow } from './steady-clock.js';

/** Options of {@link RequestHold}. */
export interface RequestHoldOptions {
  readonly match: RouteMatch;
  /** The model that a backend must have loaded; undefined if the service's backends do not load models. */
  readonly model: ModelReference | undefined;
  /** Steady time at which the request arrived. */
  readonly arrivedAt: number;
  /** Steady time of the request's deadline. */
  readonly deadlineAt: number;
  /** Whether the caller was most likely refused before. */
  readonly isRetry: boolean;
  /** Returns whether the request may run at a backend of this software version. */
  readonly mayRunAt: (backend: BackendRecord) => boolean;
}

/** The time for which one request is held. */
export class RequestHold {
  /** The first forecast because of which the request was held, and the steady time of that forecast. */
  private firstForecast: { readonly readyInMs: number; readonly at: number } | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: RequestHoldOptions,
  ) {}

  /** Returns the expected milliseconds until a backend has the request's model; undefined if it needs none. */
  readyInMs(): number | undefined {
    const { model, match, mayRunAt } = this.options;
    if (model === undefined) return undefined;
    return modelReadyInMs(this.context, match.service.name, model, steadyNow(), mayRunAt);
  }

  /** Decides by the milliseconds until a backend is expected to be ready; undefined if nothing is known. */
  decide(readyInMs: number | undefined): HoldDecision {
    const { match, arrivedAt, deadlineAt, isRetry } = this.options;
    const { goalMs, callerTimeoutMs } = match.route;
    const now = steadyNow();
    const waitedMs = now - arrivedAt;
    const remainingMs = Math.min(deadlineAt - now, callerTimeoutMs - waitedMs);
    return this.context.hold.decide({ goalMs, waitedMs, remainingMs, readyInMs, isRetry });
  }

  /** Records that the request is held because of a forecast. */
  begin(readyInMs: number | undefined): void {
    if (readyInMs !== undefined) this.firstForecast ??= { readyInMs, at: steadyNow() };
  }

  /** Records the end of the hold; does nothing if the request was not held. */
  end(wasSent: boolean): void {
    const { firstForecast } = this;
    if (firstForecast === undefined) return;
    this.firstForecast = undefined;
    const spentMs = steadyNow() - firstForecast.at;
    this.context.hold.recordWait({ forecastMs: firstForecast.readyInMs, spentMs, wasSent });
  }
}
