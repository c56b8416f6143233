/** What a daemon keeps for each service and route about the requests of callers: retry budgets and earlier deadlines. */
import { CallerDeadlines } from '../core/caller-deadlines.js';
import { RetryBudget } from '../core/retry-budget.js';
import type { GatewaySettings } from './gateway-settings.js';

/** Retry budgets by service, and deadlines of earlier callers by route. */
export class CallerBudgets {
  private readonly budgets = new Map<string, RetryBudget>();
  private readonly deadlines = new Map<string, CallerDeadlines>();

  /** @param startedAt - Steady time at which the daemon started, in milliseconds. */
  constructor(
    private readonly settings: Pick<GatewaySettings, 'bounds' | 'policies'>,
    private readonly startedAt: number,
  ) {}

  /** Returns the retry budget of a service. */
  budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const { retryRatio, retryWindowSeconds, retrySlack } = this.settings.bounds;
    const limits = { ratio: retryRatio, windowMs: retryWindowSeconds * 1_000, slack: retrySlack };
    const budget = new RetryBudget(limits, this.startedAt);
    this.budgets.set(service, budget);
    return budget;
  }

  /** Records a caller's deadline. Returns true if the caller was most likely refused before. */
  recordDeadline(route: string, deadlineMs: number | undefined): boolean {
    if (deadlineMs === undefined || !this.settings.policies.keepReturningCallers) return false;
    const deadlines = this.deadlines.get(route) ?? new CallerDeadlines();
    this.deadlines.set(route, deadlines);
    deadlines.recordDeadline(deadlineMs);
    return deadlines.isLikelyRetry(deadlineMs);
  }
}
