/** Takes the retries of one request from its service's budget. */
import type { GatewayContext } from './gateway-context.js';
import { steadyNow } from './steady-clock.js';

/** The retries of one request. */
export class RequestRetries {
  private isReserved = false;
  private isDenialReported = false;

  constructor(
    private readonly context: Pick<GatewayContext, 'budgetOf' | 'budgetParts' | 'metrics'>,
    private readonly service: string,
    /** Called at the first denial. */
    private readonly onDenied: () => void,
  ) {}

  /**
   * Reserves the next retry, so that an attempt is given up only if the request may be sent again. Returns false if the budget is
   * exhausted. May be called repeatedly; only the first denial is reported.
   */
  reserve(): boolean {
    if (this.isReserved) return true;
    const { context } = this;
    this.isReserved = context.budgetOf(this.service).takeRetry(steadyNow(), context.budgetParts());
    if (this.isReserved) context.metrics.retries.inc({ granted: 'true' });
    else this.reportDenial();
    return this.isReserved;
  }

  /** Takes the reserved retry, or a new one. Returns false if the budget is exhausted. */
  take(): boolean {
    const isGranted = this.reserve();
    this.isReserved = false;
    return isGranted;
  }

  private reportDenial(): void {
    if (this.isDenialReported) return;
    this.isDenialReported = true;
    this.context.metrics.retries.inc({ granted: 'false' });
    this.onDenied();
  }
}
