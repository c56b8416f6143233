/**
 * The keeper's side of backends' slots: one queue for each backend of which this daemon is asked.
 * Every daemon can be a keeper; who is one is worked out by those who ask (`slot-admission.ts`).
 */
import { create } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import {
  requiresGrant,
  type SlotResponse,
  type SlotDecision,
} from '../core/admission/slot-allocator.js';
import { SlotQueue } from '../core/admission/slot-queue.js';
import {
  SlotVerdict,
  SlotWordSchema,
  type SlotAsk,
  type SlotReport,
} from '../proto/gen/internal_pb.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { SlotEntry } from './slot-outbox.js';
import { steadyNow } from './steady-clock.js';

/** A queue that nobody has used for so long is forgotten. */
const UNUSED_LIFETIME_MS = 10_000;
/** A daemon is told that a backend is tight at most so often, however much it sends unasked. */
const NEWS_PERIOD_MS = 50;

/** From this share of failures on daemons are told unasked: each would find out by requests of its own. */
const TOLD_FAILURE_SHARE = 0.25;

/** Options of {@link SlotKeeper}. */
export interface SlotKeeperOptions {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Slots of a backend that takes requests; undefined if it takes none, or is not known here. */
  readonly slotsOf: (backend: string) => number | undefined;
  readonly tell: (to: string, entry: SlotEntry) => void;
}

interface KeptBackend {
  readonly queue: SlotQueue;
  usedAt: number;
  /** Daemons that use it, and when they were last told of it without having asked. */
  readonly newsAt: Map<string, number>;
}

/** The queues that this daemon keeps. */
export class SlotKeeper {
  private readonly kept = new Map<string, KeptBackend>();

  constructor(private readonly options: SlotKeeperOptions) {}

  /** Handles what a daemon reports; what belongs to no known backend is answered so. */
  receive(from: string, { asks, taken, ended, lists }: SlotReport): void {
    const now = steadyNow();
    for (const { backend, ticket, returnsInMs, rank, hasFailed } of ended) {
      const kept = this.kept.get(backend);
      if (kept === undefined) continue;
      if (returnsInMs > 0) kept.queue.expectRetry(rank, returnsInMs, now);
      this.answer(backend, kept, kept.queue.end(from, ticket, now, hasFailed));
      if (hasFailed) this.tellFailing(backend, kept, now);
    }
    for (const { backend, ticket, tenant, work } of taken) {
      const kept = this.keptOf(backend, now);
      if (kept === undefined) continue;
      kept.queue.recordUse({ daemon: from, ticket, tenant, work }, now);
      this.tellNews(from, backend, kept, now);
    }
    for (const { backend, inFlight, waiting } of lists) {
      const kept = this.keptOf(backend, now);
      if (kept === undefined) continue;
      noteUser(kept, from);
      this.answer(backend, kept, kept.queue.reconcile(from, inFlight, waiting, now));
    }
    for (const ask of asks) this.receiveAsk(from, ask, now);
  }

  /** Looks at the clock and the backends; call it some times a second. */
  tick(): void {
    const now = steadyNow();
    let overfill = 0;
    for (const [backend, kept] of this.kept) {
      const slots = this.options.slotsOf(backend);
      if (slots === undefined) this.close(backend, kept, now);
      else if (now - kept.usedAt > UNUSED_LIFETIME_MS) this.kept.delete(backend);
      else {
        kept.queue.setSlots(slots);
        this.answer(backend, kept, kept.queue.tick(now));
        const { inFlight } = kept.queue.status(steadyNow());
        overfill += Math.max(0, inFlight - slots);
      }
    }
    this.options.metrics.slotOverfill.set(overfill);
  }

  /** What daemons held that are not reachable any more is void. */
  keepOnly(daemons: ReadonlySet<string>): void {
    const now = steadyNow();
    for (const [backend, kept] of this.kept) {
      for (const user of kept.newsAt.keys()) if (!daemons.has(user)) kept.newsAt.delete(user);
      for (const daemon of kept.queue.daemons()) {
        if (daemons.has(daemon)) continue;
        this.options.logger.info('slot_daemon_gone', { backend, peer: daemon });
        this.answer(backend, kept, kept.queue.removeDaemon(daemon, now));
      }
    }
  }

  private receiveAsk(from: string, ask: SlotAsk, now: number): void {
    const { backend, ticket, rank, tenant, work, waitedMs } = ask;
    const kept = this.keptOf(backend, now);
    if (kept === undefined) {
      this.options.logger.info('slot_backend_unknown', { backend, peer: from });
      const word = create(SlotWordSchema, { backend, ticket, verdict: SlotVerdict.UNKNOWN });
      return this.options.tell(from, { kind: 'word', value: word });
    }
    noteUser(kept, from);
    const dueAt = now + ask.dueInMs;
    const giveUpAt = now + ask.giveUpInMs;
    const wish = { daemon: from, ticket, rank, dueAt, giveUpAt, waitedMs, tenant, work };
    this.answer(backend, kept, kept.queue.request(wish, now));
  }

  private keptOf(backend: string, now: number): KeptBackend | undefined {
    const known = this.kept.get(backend);
    if (known !== undefined) {
      known.usedAt = now;
      return known;
    }
    const slots = this.options.slotsOf(backend);
    if (slots === undefined) return undefined;
    const kept = { queue: new SlotQueue(slots), usedAt: now, newsAt: new Map<string, number>() };
    this.kept.set(backend, kept);
    this.options.logger.info('slots_kept', { backend, slots });
    return kept;
  }

  private close(backend: string, kept: KeptBackend, now: number): void {
    this.kept.delete(backend);
    const decisions = kept.queue.close(now);
    this.options.logger.info('slots_closed', { backend, waiting: decisions.length });
    this.answer(backend, kept, decisions);
  }

  private tellNews(to: string, backend: string, kept: KeptBackend, now: number): void {
    noteUser(kept, to);
    if (!requiresGrant(kept.queue.status(now)) && !isFailing(kept, now)) return;
    this.tellUnasked(to, backend, kept, now);
  }

  /** All that use it are told that it fails, before they meet failures themselves. */
  private tellFailing(backend: string, kept: KeptBackend, now: number): void {
    if (!isFailing(kept, now)) return;
    for (const user of kept.newsAt.keys()) this.tellUnasked(user, backend, kept, now);
  }

  private tellUnasked(to: string, backend: string, kept: KeptBackend, now: number): void {
    if (now - (kept.newsAt.get(to) ?? -Infinity) < NEWS_PERIOD_MS) return;
    kept.newsAt.set(to, now);
    this.tell(to, backend, kept, 0, undefined);
  }

  private answer(backend: string, kept: KeptBackend, decisions: readonly SlotDecision[]): void {
    for (const { daemon, ticket, answer } of decisions) {
      this.tell(daemon, backend, kept, ticket, answer);
    }
  }

  private tell(
    to: string,
    backend: string,
    { queue }: KeptBackend,
    ticket: number,
    answer: SlotResponse | undefined,
  ): void {
    const now = steadyNow();
    const { slots, inFlight, waiting, expectedWaitMs } = queue.status(now);
    const value = create(SlotWordSchema, {
      backend,
      ticket,
      verdict: verdictOf(answer),
      waitMs: Math.ceil(waitOf(answer)),
      inFlight,
      waiting,
      slots,
      newcomerWaitMs: Math.ceil(expectedWaitMs),
      failurePerMille: Math.round(queue.failureShare(now) * 1_000),
    });
    this.options.tell(to, { kind: 'word', value });
  }
}

function noteUser({ newsAt }: KeptBackend, daemon: string): void {
  if (!newsAt.has(daemon)) newsAt.set(daemon, -Infinity);
}

function isFailing({ queue }: KeptBackend, now: number): boolean {
  return queue.failureShare(now) >= TOLD_FAILURE_SHARE;
}

function verdictOf(answer: SlotResponse | undefined): SlotVerdict {
  if (answer === undefined) return SlotVerdict.NEWS;
  if (answer.type === 'granted') return SlotVerdict.GRANTED;
  if (answer.type === 'queued') return SlotVerdict.QUEUED;
  return answer.type === 'refused' ? SlotVerdict.REFUSED : SlotVerdict.UNKNOWN;
}

function waitOf(answer: SlotResponse | undefined): number {
  if (answer?.type === 'queued') return answer.expectedWaitMs;
  return answer?.type === 'refused' ? answer.retryAfterMs : 0;
}
