/**
 * Limits how much memory a daemon uses to buffer backend answers. When a limit is
 * exceeded, it selects the callers to disconnect: those that need the longest to read their buffered data.
 * The daemon keeps reading an answer from the backend while the caller is slow, so a slow caller costs
 * memory in the daemon and nothing at the backend. Pure; times are milliseconds of a monotonic clock.
 */

/** Minimum time behind before a caller is disconnected. A backend tolerates a read pause of this length. */
const MIN_BEHIND_MS = 1_000;
/** A caller that has read no byte of its answer, complete or not, for this time is treated as stalled. */
const STALLED_READ_MS = 30_000;
/** Unread bytes that a healthy connection may have; a caller with no more than this is not behind. */
const MAX_HEALTHY_UNREAD_BYTES = 16 * 1024;

/** Limits, in bytes, on buffered data. */
export interface AnswerMemoryLimits {
  /** Limit for one streamed answer. */
  readonly requestBytes: number;
  /** Limit for one answer, or one event, that is kept until it is complete. */
  readonly answerBytes: number;
  /** Limit for all answers of the daemon together. */
  readonly daemonBytes: number;
}

/** How much of its answer a caller has read. */
export interface CallerProgress {
  /** Bytes of the answer written to the caller's connection so far. */
  readonly writtenBytes: number;
  /** Written bytes that are still buffered in this daemon. */
  readonly unreadBytes: number;
  /** True if the answer is forwarded as it arrives; false if it was complete before its first byte was sent. */
  readonly isStream: boolean;
}

/** Why a caller is disconnected. */
export type SlownessReason = 'request_room' | 'daemon_room' | 'reads_nothing';

/** A caller to disconnect now. */
export interface SlowCaller {
  readonly id: number;
  readonly reason: SlownessReason;
  readonly unreadBytes: number;
  /** Milliseconds for which the caller has had more unread bytes than a healthy connection has. */
  readonly behindMs: number;
  /** Bytes that the caller has read in that time. */
  readonly readBytes: number;
}

interface CallerAccount extends CallerProgress {
  /** When the caller fell behind; undefined while it is not behind. */
  readonly behindSince: number | undefined;
  /** Bytes that the caller had read at `behindSince`. */
  readonly readBytesAtBehindStart: number;
  /** When the caller last read any byte. */
  readonly lastReadAt: number;
}

/** Tracks the bytes that one daemon buffers. */
export class AnswerBudget {
  private readonly accounts = new Map<number, CallerAccount>();
  private totalUnreadBytes = 0;
  /** Bytes of answers that are buffered until they are complete. */
  private bufferedBytes = 0;

  constructor(private readonly limits: Omit<AnswerMemoryLimits, 'answerBytes'>) {}

  /** All bytes that the daemon buffers. */
  get heldBytes(): number {
    return this.totalUnreadBytes + this.bufferedBytes;
  }

  /** Number of callers with unread bytes. */
  get unreadCallers(): number {
    let callers = 0;
    for (const { unreadBytes } of this.accounts.values()) if (unreadBytes > 0) callers += 1;
    return callers;
  }

  /** Adds bytes of a buffered answer; a negative number releases bytes. */
  addBuffered(bytes: number): void {
    this.bufferedBytes += bytes;
  }

  /** Records a caller's progress. Returns false if reading from its backend should pause. */
  recordProgress(id: number, progress: CallerProgress, now: number): boolean {
    const known = this.accounts.get(id);
    this.totalUnreadBytes += progress.unreadBytes - (known?.unreadBytes ?? 0);
    this.accounts.set(id, updatedAccount(known, progress, now));
    if (progress.unreadBytes <= MAX_HEALTHY_UNREAD_BYTES) return true;
    return progress.unreadBytes <= this.limits.requestBytes && !this.isFull;
  }

  /** Removes a caller whose answer has ended or who has disconnected. */
  release(id: number): void {
    const known = this.accounts.get(id);
    if (known === undefined) return;
    this.totalUnreadBytes -= known.unreadBytes;
    this.accounts.delete(id);
  }

  /** Removes the callers to disconnect now from the budget and returns them, slowest first. */
  removeSlowCallers(now: number): SlowCaller[] {
    const slowestFirst = [...this.accounts].sort(
      (a, b) => remainingReadMs(b[1], now) - remainingReadMs(a[1], now),
    );
    const removed: SlowCaller[] = [];
    for (const [id, account] of slowestFirst) {
      const reason = this.slownessReason(account, now);
      if (reason === undefined) continue;
      removed.push(slowCaller(id, account, reason, now));
      this.release(id);
    }
    return removed;
  }

  private get isFull(): boolean {
    return this.heldBytes > this.limits.daemonBytes;
  }

  private slownessReason(account: CallerAccount, now: number): SlownessReason | undefined {
    const { behindSince, unreadBytes, isStream, lastReadAt } = account;
    if (unreadBytes > 0 && now - lastReadAt >= STALLED_READ_MS) return 'reads_nothing';
    if (behindSince === undefined || now - behindSince < MIN_BEHIND_MS) return undefined;
    if (isStream && unreadBytes > this.limits.requestBytes) return 'request_room';
    return this.isFull ? 'daemon_room' : undefined;
  }
}

function updatedAccount(
  known: CallerAccount | undefined,
  progress: CallerProgress,
  now: number,
): CallerAccount {
  const read = readBytes(progress);
  const hasRead = known === undefined || read > readBytes(known) || known.unreadBytes === 0;
  const lastReadAt = hasRead ? now : known.lastReadAt;
  const isBehind = progress.unreadBytes > MAX_HEALTHY_UNREAD_BYTES;
  if (!isBehind)
    return { ...progress, behindSince: undefined, readBytesAtBehindStart: read, lastReadAt };
  if (known?.behindSince === undefined) {
    return { ...progress, behindSince: now, readBytesAtBehindStart: read, lastReadAt };
  }
  const { behindSince, readBytesAtBehindStart } = known;
  return { ...progress, behindSince, readBytesAtBehindStart, lastReadAt };
}

function readBytes({ writtenBytes, unreadBytes }: CallerProgress): number {
  return writtenBytes - unreadBytes;
}

/** Milliseconds that a caller needs to read its unread bytes at its rate since it fell behind. */
function remainingReadMs(account: CallerAccount, now: number): number {
  const { behindSince, unreadBytes, readBytesAtBehindStart } = account;
  if (behindSince === undefined) return 0;
  const bytesPerMs = (readBytes(account) - readBytesAtBehindStart) / Math.max(1, now - behindSince);
  return bytesPerMs > 0 ? unreadBytes / bytesPerMs : Number.MAX_VALUE;
}

function slowCaller(
  id: number,
  account: CallerAccount,
  reason: SlownessReason,
  now: number,
): SlowCaller {
  const { unreadBytes, behindSince, readBytesAtBehindStart } = account;
  const behindMs = behindSince === undefined ? 0 : now - behindSince;
  return {
    id,
    reason,
    unreadBytes,
    behindMs,
    readBytes: readBytes(account) - readBytesAtBehindStart,
  };
}

/** Share of process memory for buffered answers; the rest is for requests, code, heap and connections. */
const DAEMON_MEMORY_SHARE = 1 / 8;
/** Share of that memory for one stream, so that one slow caller cannot use up the whole limit. */
const REQUEST_MEMORY_SHARE = 1 / 8;
/** Share of that memory for one answer that is kept until it is complete, so that several have room. */
const ANSWER_MEMORY_SHARE = 1 / 4;
const MEGABYTE = 1024 * 1024;

/** Computes the limits for a process that may use `memoryMegabytes` of memory, in units of 1,024 x 1,024 bytes. */
export function answerMemoryLimitsFor(memoryMegabytes: number): AnswerMemoryLimits {
  const daemonBytes = memoryMegabytes * MEGABYTE * DAEMON_MEMORY_SHARE;
  return {
    daemonBytes,
    requestBytes: daemonBytes * REQUEST_MEMORY_SHARE,
    answerBytes: daemonBytes * ANSWER_MEMORY_SHARE,
  };
}
