/**
 * Who may use the slots of one backend, decided in one place for all daemons. The interface of the
 * ways to decide, and what they share: daemons use `slot-queue.ts`; tests measure another way against
 * it. Pure; times are milliseconds of the decider's steady clock.
 */

/** A request that wants a slot of the backend. */
export interface SlotAsk {
  readonly daemon: string;
  /** Names the request among those of its daemon. */
  readonly ticket: number;
  /** Priority of its route or tenant; 0 is the most urgent. */
  readonly rank: number;
  /** When it should be sent for its answer to begin in time. */
  readonly dueAt: number;
  /** When its caller can no longer be served, or leaves. */
  readonly giveUpAt: number;
  /** How long its caller has waited before it was asked for here. */
  readonly waitedMs: number;
  /** Whose share of the slots it takes; empty for callers without a key, who have one share together. */
  readonly tenant: string;
  /** Expected work in tokens; 0 if nothing is known. */
  readonly work: number;
}

/** A request that was sent without a question. */
export type SlotUse = Pick<SlotAsk, 'daemon' | 'ticket' | 'tenant' | 'work'>;

/** The word on an ask. */
export type SlotAnswer =
  | { readonly type: 'granted' }
  /** It waits for its turn; it will be answered again. */
  | { readonly type: 'queued'; readonly expectedWaitMs: number }
  /** It can't be served in its time; one that comes after `retryAfterMs` probably can. */
  | { readonly type: 'refused'; readonly retryAfterMs: number }
  /** The backend takes no requests, or is not known here: another one must be chosen. */
  | { readonly type: 'unknown' };

/** An answer and whom it is for. */
export interface SlotDecision {
  readonly daemon: string;
  readonly ticket: number;
  readonly answer: SlotAnswer;
  /** Milliseconds that it has waited here; 0 if it was answered at once. */
  readonly waitedMs: number;
}

/** What daemons are told of a backend besides. */
export interface SlotFigures {
  readonly slots: number;
  readonly inFlight: number;
  readonly waiting: number;
  /** Milliseconds that a request of usual rank and size would wait if it came now. */
  readonly expectedWaitMs: number;
}

/** Keeps the slots of one backend. Each call returns the answers that follow from it. */
export interface SlotKeeping {
  /** A repeated ask is answered as the first one stands now. */
  ask(ask: SlotAsk, now: number): SlotDecision[];
  /** A request was sent without a question. */
  take(use: SlotUse, now: number): void;
  /** A request has ended, or an ask is withdrawn. What is not known is ignored. */
  end(daemon: string, ticket: number, now: number): SlotDecision[];
  /** The daemon has left, or was lost: its requests and asks are void. */
  daemonGone(daemon: string, now: number): SlotDecision[];
  /** Looks at the clock; call it some times a second. */
  look(now: number): SlotDecision[];
  figures(now: number): SlotFigures;
}

/** Whether requests need the keeper's word first: from half of the slots on, or when some wait. */
export function isTight({ slots, inFlight, waiting }: SlotFigures): boolean {
  return waiting > 0 || inFlight * 2 >= slots;
}

/** An answer to an ask, after `waitedMs` milliseconds of waiting. */
export function decisionOn(
  { daemon, ticket }: Pick<SlotAsk, 'daemon' | 'ticket'>,
  answer: SlotAnswer,
  waitedMs: number,
): SlotDecision {
  return { daemon, ticket, answer, waitedMs };
}

/** Names a request among those of all daemons. */
export function ticketKey({ daemon, ticket }: Pick<SlotAsk, 'daemon' | 'ticket'>): string {
  return `${daemon} ${ticket}`;
}
