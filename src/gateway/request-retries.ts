/** Takes the retries of one request from its service's budget, with a backoff where its caller waits for the rest of an answer. */
import type { LogFields } from '../common/logger.js';
import type { GatewayContext } from './gateway-context.js';
import { steadyNow } from './steady-clock.js';

/** First backoff, in milliseconds; each further one is twice as long, up to the maximum. */
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;
/** Longest backoff, as a share of the time that is left: a request whose caller still waits is to be sent again before its deadline. */
const MAX_REMAINING_SHARE = 0.5;

/** The retries of one request. */
export class RequestRetries {
  /** Steady time at which the retry was reserved that is not used yet; undefined without one. */
  private reservedAt: number | undefined;
  private isDenialReported = false;
  private nextBackoffMs = FIRST_BACKOFF_MS;
  private backoffEndsAt = -Infinity;

  constructor(
    private readonly context: Pick<GatewayContext, 'budgetOf' | 'budgetParts' | 'metrics'>,
    private readonly service: string,
    /** Steady time of the request's deadline. */
    private readonly deadlineAt: number,
    private readonly log: (event: string, fields: LogFields) => void,
  ) {}

  /** Whether the request is not to be sent yet. */
  get isBackingOff(): boolean {
    return steadyNow() < this.backoffEndsAt;
  }

  /** Begins a backoff. */
  backOff(): void {
    const now = steadyNow();
    const remainingMs = Math.max(0, this.deadlineAt - now);
    const backoffMs = Math.min(this.nextBackoffMs, remainingMs * MAX_REMAINING_SHARE);
    this.backoffEndsAt = now + backoffMs;
    this.nextBackoffMs = Math.min(2 * this.nextBackoffMs, MAX_BACKOFF_MS);
    this.log('retry_backoff', { backoffMs: Math.round(backoffMs) });
  }

  /**
   * Reserves the next retry, so that an attempt is given up only if the request may be sent again. Returns false if the budget is
   * exhausted. May be called repeatedly; only the first denial is reported.
   */
  reserve(): boolean {
    if (this.reservedAt !== undefined) return true;
    const { context } = this;
    const now = steadyNow();
    const isGranted = context.budgetOf(this.service).takeRetry(now, context.budgetParts());
    if (!isGranted) {
      this.reportDenial();
      return false;
    }
    context.metrics.retries.inc({ granted: 'true' });
    this.reservedAt = now;
    return true;
  }

  /** Takes the reserved retry, or a new one. Returns false if the budget is exhausted. */
  take(): boolean {
    const isGranted = this.reserve();
    this.reservedAt = undefined;
    return isGranted;
  }

  /** Returns the reserved retry to the budget, if there is one, because the request has ended without it. */
  end(): void {
    if (this.reservedAt === undefined) return;
    this.context.budgetOf(this.service).returnRetry(this.reservedAt);
    this.reservedAt = undefined;
  }

  private reportDenial(): void {
    if (this.isDenialReported) return;
    this.isDenialReported = true;
    this.context.metrics.retries.inc({ granted: 'false' });
    this.log('retry_denied', {});
  }
}
