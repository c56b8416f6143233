/**
 * The slot allocator's side of slot admission: one queue for each backend for which this daemon
 * receives slot requests. Every daemon can be the slot allocator of a backend. The daemons that send
 * the requests choose it (`slot-admission.ts`).
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

/** A queue that no daemon has used for this time is deleted. */
const UNUSED_EXPIRY_MS = 10_000;
/**
 * Minimum time between two unsolicited status messages to a daemon about a backend that is nearly full or failing,
 * however many requests the daemon sends without a grant.
 */
const STATUS_PERIOD_MS = 50;

/**
 * Failure share from which daemons get unsolicited status messages. Otherwise each daemon would detect the failures
 * only by requests of its own.
 */
const ANNOUNCED_FAILURE_SHARE = 0.25;

/** Options of {@link SlotAllocators}. */
export interface SlotAllocatorsOptions {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Number of slots of a backend that accepts requests; undefined if it accepts none, or is not known to this daemon. */
  readonly slotsOf: (backend: string) => number | undefined;
  readonly enqueue: (to: string, entry: SlotEntry) => void;
}

interface AllocatedBackend {
  readonly queue: SlotQueue;
  usedAt: number;
  /** Steady time of the last unsolicited status message to each daemon that uses the backend, by address. */
  readonly statusSentAt: Map<string, number>;
}

/** The slot queues for which this daemon is the allocator. */
export class SlotAllocators {
  private readonly entries = new Map<string, AllocatedBackend>();

  constructor(private readonly options: SlotAllocatorsOptions) {}

  /** Handles a daemon's report. The reply to a request for an unknown backend says that it is unknown. */
  receive(from: string, { asks, taken, ended, lists }: SlotReport): void {
    const now = steadyNow();
    for (const { backend, ticket, returnsInMs, rank, hasFailed } of ended) {
      const entry = this.entries.get(backend);
      if (entry === undefined) continue;
      if (returnsInMs > 0) entry.queue.expectRetry(rank, returnsInMs, now);
      this.sendDecisions(backend, entry, entry.queue.end(from, ticket, now, hasFailed));
      if (hasFailed) this.announceFailing(backend, entry, now);
    }
    for (const { backend, ticket, tenant, work } of taken) {
      const entry = this.findOrCreate(backend, now);
      if (entry === undefined) continue;
      entry.queue.recordUse({ daemon: from, ticket, tenant, work }, now);
      this.sendStatusIfTight(from, backend, entry, now);
    }
    for (const { backend, inFlight, waiting } of lists) {
      const entry = this.findOrCreate(backend, now);
      if (entry === undefined) continue;
      addUser(entry, from);
      this.sendDecisions(backend, entry, entry.queue.reconcile(from, inFlight, waiting, now));
    }
    for (const slotRequest of asks) this.handleRequest(from, slotRequest, now);
  }

  /** Updates the queues for the current time and slot counts. Call it a few times per second. */
  tick(): void {
    const now = steadyNow();
    let overfill = 0;
    for (const [backend, entry] of this.entries) {
      const slots = this.options.slotsOf(backend);
      if (slots === undefined) this.close(backend, entry, now);
      else if (now - entry.usedAt > UNUSED_EXPIRY_MS) this.entries.delete(backend);
      else {
        entry.queue.setSlots(slots);
        this.sendDecisions(backend, entry, entry.queue.tick(now));
        const { inFlight } = entry.queue.status(steadyNow());
        overfill += Math.max(0, inFlight - slots);
      }
    }
    this.options.metrics.excessSlotRequests.set(overfill);
  }

  /** Deletes the slots and requests of daemons that are no longer reachable. */
  retainDaemons(daemons: ReadonlySet<string>): void {
    const now = steadyNow();
    for (const [backend, entry] of this.entries) {
      for (const user of entry.statusSentAt.keys())
        if (!daemons.has(user)) entry.statusSentAt.delete(user);
      for (const daemon of entry.queue.daemons()) {
        if (daemons.has(daemon)) continue;
        this.options.logger.info('slot_daemon_gone', { backend, peer: daemon });
        this.sendDecisions(backend, entry, entry.queue.removeDaemon(daemon, now));
      }
    }
  }

  private handleRequest(from: string, slotRequest: SlotAsk, now: number): void {
    const { backend, ticket, rank, tenant, work, waitedMs } = slotRequest;
    const entry = this.findOrCreate(backend, now);
    if (entry === undefined) {
      this.options.logger.info('slot_backend_unknown', { backend, peer: from });
      const reply = create(SlotWordSchema, { backend, ticket, verdict: SlotVerdict.UNKNOWN });
      return this.options.enqueue(from, { kind: 'reply', value: reply });
    }
    addUser(entry, from);
    const dueAt = now + slotRequest.dueInMs;
    const giveUpAt = now + slotRequest.giveUpInMs;
    const request = { daemon: from, ticket, rank, dueAt, giveUpAt, waitedMs, tenant, work };
    this.sendDecisions(backend, entry, entry.queue.request(request, now));
  }

  private findOrCreate(backend: string, now: number): AllocatedBackend | undefined {
    const known = this.entries.get(backend);
    if (known !== undefined) {
      known.usedAt = now;
      return known;
    }
    const slots = this.options.slotsOf(backend);
    if (slots === undefined) return undefined;
    const entry = {
      queue: new SlotQueue(slots),
      usedAt: now,
      statusSentAt: new Map<string, number>(),
    };
    this.entries.set(backend, entry);
    this.options.logger.info('slots_kept', { backend, slots });
    return entry;
  }

  private close(backend: string, entry: AllocatedBackend, now: number): void {
    this.entries.delete(backend);
    const decisions = entry.queue.close(now);
    this.options.logger.info('slots_closed', { backend, waiting: decisions.length });
    this.sendDecisions(backend, entry, decisions);
  }

  private sendStatusIfTight(
    to: string,
    backend: string,
    entry: AllocatedBackend,
    now: number,
  ): void {
    addUser(entry, to);
    if (!requiresGrant(entry.queue.status(now)) && !isFailing(entry, now)) return;
    this.sendStatus(to, backend, entry, now);
  }

  /** Informs all daemons that use the backend that it fails, before their own requests fail. */
  private announceFailing(backend: string, entry: AllocatedBackend, now: number): void {
    if (!isFailing(entry, now)) return;
    for (const user of entry.statusSentAt.keys()) this.sendStatus(user, backend, entry, now);
  }

  private sendStatus(to: string, backend: string, entry: AllocatedBackend, now: number): void {
    if (now - (entry.statusSentAt.get(to) ?? -Infinity) < STATUS_PERIOD_MS) return;
    entry.statusSentAt.set(to, now);
    this.send(to, backend, entry, 0, undefined);
  }

  private sendDecisions(
    backend: string,
    entry: AllocatedBackend,
    decisions: readonly SlotDecision[],
  ): void {
    for (const { daemon, ticket, answer } of decisions) {
      this.send(daemon, backend, entry, ticket, answer);
    }
  }

  private send(
    to: string,
    backend: string,
    { queue }: AllocatedBackend,
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
    this.options.enqueue(to, { kind: 'reply', value });
  }
}

function addUser({ statusSentAt }: AllocatedBackend, daemon: string): void {
  if (!statusSentAt.has(daemon)) statusSentAt.set(daemon, -Infinity);
}

function isFailing({ queue }: AllocatedBackend, now: number): boolean {
  return queue.failureShare(now) >= ANNOUNCED_FAILURE_SHARE;
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
