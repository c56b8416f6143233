/** A simulated backend that loads models by fenced orders, which may arrive late or lose their replies. */
import type {
  BackendReport,
  ModelOrder,
  OrderFence,
  OrderOutcome,
} from '../../src/core/model-order.js';
import type { ModelHostSpec } from '../../src/core/service-configuration.js';

interface RunningOrder {
  readonly order: ModelOrder;
  readonly endsAt: number;
}

interface DelayedOrder {
  readonly order: ModelOrder;
  readonly fence: OrderFence;
  readonly at: number;
}

/** What happens to an order and its reply on the network. */
export type OrderDelivery =
  | 'answered'
  | 'answer_lost'
  | 'late'
  | 'lost'
  /** A second answer to the order before is taken for the answer. */
  | 'earlier_answer';

/** One simulated backend process. */
export class SimulatedBackend {
  /** Number of accepted orders. */
  sequence = 0;
  /** Highest epoch of any fence received; orders of lower epochs are fenced. */
  highestEpoch = 0;
  readonly models = new Set<string>();
  /** Set when an order made the models exceed the memory; never reset. */
  overcommitted = false;
  private running: RunningOrder | undefined;
  /** Models of reports: as of a few hundred milliseconds ago, while `busy` and the sequence are current. */
  private reportedModels: readonly string[];
  private delayedOrders: DelayedOrder[] = [];
  /** The answer to the last order that was answered. */
  private lastOutcome: OrderOutcome | undefined;
  private lastReport: BackendReport | undefined;

  constructor(
    readonly id: string,
    private readonly host: ModelHostSpec,
    held: readonly string[],
  ) {
    for (const model of held) this.models.add(model);
    this.reportedModels = held;
  }

  /** Advances the clock: delivers late orders and completes the running order. */
  advance(now: number): void {
    this.reportedModels = [...this.models];
    const due = this.delayedOrders.filter((entry) => entry.at <= now);
    this.delayedOrders = this.delayedOrders.filter((entry) => entry.at > now);
    for (const { order, fence } of due) this.applyOrder(order, fence, now);
    if (this.running === undefined || this.running.endsAt > now) return;
    const { operation, model } = this.running.order;
    if (operation === 'load') this.models.add(model);
    else this.models.delete(model);
    this.running = undefined;
  }

  /** Delivers an order with the given fate. */
  order(order: ModelOrder, fence: OrderFence, fate: OrderDelivery, now: number): OrderOutcome {
    if (fate === 'lost') return { type: 'unknown', reason: 'lost' };
    if (fate === 'late') {
      this.delayedOrders.push({ order, fence, at: now + 3_000 });
      return { type: 'unknown', reason: 'late' };
    }
    const outcome = this.applyOrder(order, fence, now);
    if (fate === 'answer_lost') return { type: 'unknown', reason: 'answer lost' };
    const answer = fate === 'earlier_answer' ? (this.lastOutcome ?? outcome) : outcome;
    this.lastOutcome = outcome;
    return answer;
  }

  /**
   * Returns the report that the backend sends to owners.
   * @param isEarlier - Whether a second answer to the request before is taken for the report.
   */
  report(isEarlier = false): BackendReport {
    const report = this.currentReport();
    const answer = isEarlier ? (this.lastReport ?? report) : report;
    this.lastReport = report;
    return answer;
  }

  private currentReport(): BackendReport {
    return {
      busy: this.running !== undefined,
      sequence: this.sequence,
      models: this.reportedModels.map((name) => ({ name, adapters: [] })),
      coming: [],
      inMemory: [],
      onDisk: this.host.models.map((model) => model.name),
      waiting: 0,
      running: 0,
    };
  }

  /** Megabytes in use, including a load in progress. */
  usedMegabytes(): number {
    const loading = this.running?.order;
    const names = [...this.models];
    if (loading?.operation === 'load') names.push(loading.model);
    return names.reduce((sum, name) => sum + this.megabytes(name), 0);
  }

  private applyOrder(order: ModelOrder, fence: OrderFence, now: number): OrderOutcome {
    if (fence.epoch < this.highestEpoch) return { type: 'fenced' };
    this.highestEpoch = fence.epoch;
    if (this.running !== undefined || fence.expectedSequence !== this.sequence) {
      return { type: 'conflict' };
    }
    if (this.models.has(order.model) === (order.operation === 'load')) return { type: 'holds' };
    this.sequence += 1;
    this.running = { order, endsAt: now + (order.operation === 'load' ? 1_500 : 100) };
    if (this.usedMegabytes() > this.host.megabytes) this.overcommitted = true;
    return { type: 'accepted' };
  }

  private megabytes(name: string): number {
    return this.host.models.find((model) => model.name === name)?.megabytes ?? 0;
  }
}
