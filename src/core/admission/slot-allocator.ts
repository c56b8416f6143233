/**
 * Allocation of one backend's slots, decided in one place for all daemons: the interface of the
 * allocation policies, and the types and helpers that they share. Daemons use `slot-queue.ts`; tests
 * compare it with another policy. Pure; times are milliseconds of the deciding daemon's steady clock.
 */

/** A request for a slot of the backend. */
export interface SlotRequest {
  readonly daemon: string;
  /** Identifies the request among those of its daemon. */
  readonly ticket: number;
  /** Priority of its route or tenant; 0 is the most urgent. */
  readonly rank: number;
  /** When the request should be sent so that its answer begins in time. */
  readonly dueAt: number;
  /** When waiting becomes useless: the caller can no longer be served in time, or disconnects. */
  readonly giveUpAt: number;
  /** Milliseconds that the caller had waited before this slot was requested. */
  readonly waitedMs: number;
  /** Tenant whose share of the slots is used. Empty for callers without a key, who have one share together. */
  readonly tenant: string;
  /** Expected work in tokens; 0 if unknown. */
  readonly work: number;
}

/** A request that a daemon sent to the backend without requesting a slot first. */
export type SlotUse = Pick<SlotRequest, 'daemon' | 'ticket' | 'tenant' | 'work'>;

/** The decision on a slot request. */
export type SlotResponse =
  | { readonly type: 'granted' }
  /** The request is queued. A later decision grants or refuses it. */
  | { readonly type: 'queued'; readonly expectedWaitMs: number }
  /** The request cannot be served in time. A retry after `retryAfterMs` probably can. */
  | { readonly type: 'refused'; readonly retryAfterMs: number }
  /** The backend accepts no requests, or is not known here. The daemon must choose another backend. */
  | { readonly type: 'unknown' };

/** A decision and the request that it is for. */
export interface SlotDecision {
  readonly daemon: string;
  readonly ticket: number;
  readonly answer: SlotResponse;
  /** Milliseconds that the request waited in the queue; 0 if it was decided at once. */
  readonly waitedMs: number;
}

/** Load of a backend, as announced to daemons. */
export interface SlotStatus {
  readonly slots: number;
  readonly inFlight: number;
  readonly waiting: number;
  /** Milliseconds that a new request of typical rank and size would wait. */
  readonly expectedWaitMs: number;
}

/** Allocates the slots of one backend. Calls return the decisions that result from them. */
export interface SlotAllocator {
  /** Handles a slot request. A repeated request gets the current state of the first one. */
  request(request: SlotRequest, now: number): SlotDecision[];
  /** Records a request that was sent without requesting a slot first. */
  recordUse(use: SlotUse, now: number): void;
  /** Records that a request has ended or that a slot request is withdrawn. Ignores unknown tickets. */
  end(daemon: string, ticket: number, now: number): SlotDecision[];
  /** Drops all requests of a daemon that has stopped or failed. */
  removeDaemon(daemon: string, now: number): SlotDecision[];
  /** Handles elapsed timeouts. Call it several times a second. */
  tick(now: number): SlotDecision[];
  status(now: number): SlotStatus;
}

/** Returns whether requests need a granted slot before they are sent: if half of the slots are in use or requests wait. */
export function requiresGrant({ slots, inFlight, waiting }: SlotStatus): boolean {
  return waiting > 0 || inFlight * 2 >= slots;
}

/** Returns the decision on a slot request that has waited `waitedMs` milliseconds. */
export function decisionOn(
  { daemon, ticket }: Pick<SlotRequest, 'daemon' | 'ticket'>,
  answer: SlotResponse,
  waitedMs: number,
): SlotDecision {
  return { daemon, ticket, answer, waitedMs };
}

/** Returns a key that identifies a request among those of all daemons. */
export function ticketKey({ daemon, ticket }: Pick<SlotRequest, 'daemon' | 'ticket'>): string {
  return `${daemon} ${ticket}`;
}
