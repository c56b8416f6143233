/** Reports one request for a model as demand to the owner of its service while it waits, and until its refused caller retries. */
import type { RouteMatch } from '../core/routing-table.js';
import type { ModelReference } from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';
import type { WaitingCaller } from './request-tracker.js';
import { steadyNow } from './steady-clock.js';

/** Demand of one request; nothing is reported for a service without models. */
export class RequestDemand {
  private waiting = false;

  constructor(
    private readonly context: Pick<GatewayContext, 'tracker' | 'sendDemandNow'>,
    private readonly match: RouteMatch,
    private readonly model: ModelReference | undefined,
    /** Entry for the request in the reports while it waits. */
    private readonly waitingCaller: WaitingCaller,
  ) {}

  /** Whether the request is reported as waiting. */
  get isWaiting(): boolean {
    return this.waiting;
  }

  /** Counts the request as an arrival. */
  recordArrival(): void {
    const { route, service } = this.match;
    if (this.model === undefined) return;
    this.context.tracker.recordArrival(service.name, this.model, route.goalMs, steadyNow());
  }

  setWaiting(waiting: boolean): void {
    if (this.waiting === waiting) return;
    this.waiting = waiting;
    const { model } = this;
    const { service } = this.match;
    if (model === undefined) return;
    const { tracker } = this.context;
    if (!waiting) return tracker.removeWaiting(service.name, model, this.waitingCaller);
    tracker.addWaiting(service.name, model, this.waitingCaller);
    this.context.sendDemandNow(service.name);
  }

  /** Counts a refused caller as waiting until its retry, so that its model is loaded by then. */
  expectRetry(retryAfterMs: number): void {
    const { model } = this;
    const { route, service } = this.match;
    if (model === undefined) return;
    const { tracker } = this.context;
    const caller = { dueAt: steadyNow() + retryAfterMs, goalMs: route.goalMs };
    tracker.addWaiting(service.name, model, caller);
    this.context.sendDemandNow(service.name);
    setTimeout(() => tracker.removeWaiting(service.name, model, caller), retryAfterMs).unref();
  }
}
