/**
 * How much of the backends' answers, and of requests' bodies, a daemon holds in memory, and which callers
 * are ended when that is too much: those that would need longest to read what is held for them. An answer is
 * read on from its backend whether its caller reads or not, so that a slow caller costs memory here and
 * nothing at the backend. Pure; times are milliseconds of a steady clock.
 */

/** A caller that has fallen behind for less is waited for; a backend bears a pause of that length in its turn. */
const GRACE_MS = 1_000;
/** A caller that has read no byte of a finished or open answer for so long does not read any more. */
const READS_NOTHING_MS = 30_000;
/** Up to so much is unread on a healthy connection: its caller is not behind. */
const CAUGHT_UP_BYTES = 16 * 1024;

/** Bytes that may be held. */
export interface AnswerRoom {
  /** For one stream whose caller reads slowly. */
  readonly requestBytes: number;
  /** For all answers and bodies together. */
  readonly daemonBytes: number;
}

/** How far a caller has read. */
export interface CallerProgress {
  /** Bytes of the answer that were written for it so far. */
  readonly writtenBytes: number;
  /** Those of them that this daemon still holds. */
  readonly unreadBytes: number;
  /** The answer is a stream, passed on as it comes; else it was whole before its first byte was sent. */
  readonly isStream: boolean;
}

/** Why a caller is ended. */
export type SlownessReason = 'request_room' | 'daemon_room' | 'reads_nothing';

/** A caller that is to be ended now. */
export interface SlowCaller {
  readonly id: number;
  readonly reason: SlownessReason;
  readonly unreadBytes: number;
  /** Since when more was unread than a healthy connection holds. */
  readonly behindMs: number;
  /** Bytes that it has read in that time. */
  readonly readBytes: number;
}

interface Account extends CallerProgress {
  /** Undefined while it has caught up. */
  readonly behindSince: number | undefined;
  /** Bytes that it had read then. */
  readonly readAtSince: number;
  /** When it had last read anything. */
  readonly lastReadAt: number;
}

/** The bytes that one daemon holds. */
export class AnswerBudget {
  private readonly accounts = new Map<number, Account>();
  private unread = 0;
  /** Bodies of requests, and answers that are gathered until they are whole. */
  private gathered = 0;

  constructor(private readonly room: AnswerRoom) {}

  /** All bytes that are held. */
  get heldBytes(): number {
    return this.unread + this.gathered;
  }

  /** Callers that have not read all that was written for them. */
  get unreadCallers(): number {
    let callers = 0;
    for (const { unreadBytes } of this.accounts.values()) if (unreadBytes > 0) callers += 1;
    return callers;
  }

  /** Holds further bytes of a body or of an answer that is gathered; fewer if negative. */
  hold(bytes: number): void {
    this.gathered += bytes;
  }

  /** Takes a caller's progress. Returns false while its backend should not be read on. */
  note(id: number, progress: CallerProgress, now: number): boolean {
    const known = this.accounts.get(id);
    this.unread += progress.unreadBytes - (known?.unreadBytes ?? 0);
    this.accounts.set(id, accountOf(known, progress, now));
    if (progress.unreadBytes <= CAUGHT_UP_BYTES) return true;
    return progress.unreadBytes <= this.room.requestBytes && !this.isFull;
  }

  /** An answer has ended, or its caller has left. */
  release(id: number): void {
    const known = this.accounts.get(id);
    if (known === undefined) return;
    this.unread -= known.unreadBytes;
    this.accounts.delete(id);
  }

  /** Callers that are to be ended now, the slowest first; they count no more. */
  takeTooSlow(now: number): SlowCaller[] {
    const behind = [...this.accounts].sort((a, b) => restMs(b[1], now) - restMs(a[1], now));
    const ended: SlowCaller[] = [];
    for (const [id, account] of behind) {
      const reason = this.reasonToEnd(account, now);
      if (reason === undefined) continue;
      ended.push(slowCaller(id, account, reason, now));
      this.release(id);
    }
    return ended;
  }

  private get isFull(): boolean {
    return this.heldBytes > this.room.daemonBytes;
  }

  private reasonToEnd(account: Account, now: number): SlownessReason | undefined {
    const { behindSince, unreadBytes, isStream, lastReadAt } = account;
    if (unreadBytes > 0 && now - lastReadAt >= READS_NOTHING_MS) return 'reads_nothing';
    if (behindSince === undefined || now - behindSince < GRACE_MS) return undefined;
    if (isStream && unreadBytes > this.room.requestBytes) return 'request_room';
    return this.isFull ? 'daemon_room' : undefined;
  }
}

function accountOf(known: Account | undefined, progress: CallerProgress, now: number): Account {
  const read = readBytes(progress);
  const hasRead = known === undefined || read > readBytes(known) || known.unreadBytes === 0;
  const lastReadAt = hasRead ? now : known.lastReadAt;
  const isBehind = progress.unreadBytes > CAUGHT_UP_BYTES;
  if (!isBehind) return { ...progress, behindSince: undefined, readAtSince: read, lastReadAt };
  if (known?.behindSince === undefined) {
    return { ...progress, behindSince: now, readAtSince: read, lastReadAt };
  }
  const { behindSince, readAtSince } = known;
  return { ...progress, behindSince, readAtSince, lastReadAt };
}

function readBytes({ writtenBytes, unreadBytes }: CallerProgress): number {
  return writtenBytes - unreadBytes;
}

/** Milliseconds that a caller needs for what it has not read, at the pace since it fell behind. */
function restMs(account: Account, now: number): number {
  const { behindSince, unreadBytes, readAtSince } = account;
  if (behindSince === undefined) return 0;
  const pace = (readBytes(account) - readAtSince) / Math.max(1, now - behindSince);
  return pace > 0 ? unreadBytes / pace : Number.MAX_VALUE;
}

function slowCaller(id: number, account: Account, reason: SlownessReason, now: number): SlowCaller {
  const { unreadBytes, behindSince, readAtSince } = account;
  const behindMs = behindSince === undefined ? 0 : now - behindSince;
  return { id, reason, unreadBytes, behindMs, readBytes: readBytes(account) - readAtSince };
}

/** Share of a process's memory for answers and bodies that are held: the rest is code, heap and connections. */
const DAEMON_SHARE = 1 / 8;
/** Share of that for one stream: one slow caller must not use up the room of all. */
const REQUEST_SHARE = 1 / 8;
const MEGABYTE = 1024 * 1024;

/** The room of a process that may use so many megabytes of memory, of 1,024 x 1,024 bytes. */
export function answerRoomOf(memoryMegabytes: number): AnswerRoom {
  const daemonBytes = memoryMegabytes * MEGABYTE * DAEMON_SHARE;
  return { daemonBytes, requestBytes: daemonBytes * REQUEST_SHARE };
}
