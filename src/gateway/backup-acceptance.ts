/**
 * Decides which of two attempts goes on if neither is answered. The backend of the backup counts as having accepted the request if it runs,
 * has read the request, and has not refused it for a time. Even so it may refuse later. The first attempt is therefore given up only if
 * its own backend runs and is reached as well: two backends must not work on one request for long, and one that does not run works on
 * nothing and may still have the answer.
 */
import type { FaultBoundary } from '../common/fault-boundary.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { Attempt } from './attempt.js';
import type { GatewayContext } from './gateway-context.js';
import { LivenessCheck } from './liveness-check.js';
import type { RequestLog } from './request-log.js';
import { SilenceTimer } from './silence-timer.js';
import { steadyNow } from './steady-clock.js';

/**
 * Time after which a backend that was sent the request, runs, and has not refused it counts as having accepted it. Two backends may
 * work on one request for 400 ms at most.
 */
const ACCEPT_MS = 300;
/**
 * The same from the reply to a liveness check on, for a backend that was silent until then. It has begun to work shortly before the
 * reply.
 */
const ACCEPT_AFTER_SILENCE_MS = 200;
/**
 * The same for a request that another daemon relays, while this daemon does not reach the first backend. The other daemon may
 * not reach the backends either, and needs a failed connection to notice it.
 */
const RELAY_ACCEPT_MS = 1_000;
/** Interval at which such a request is checked: its first backend may be reached again. */
const RELAY_CHECK_MS = 100;
/**
 * Time for a refusal from a reply that comes shortly before {@link ACCEPT_MS} on: the backend may have gone on only now. Both together
 * are within the time for two runs.
 */
const REFUSAL_MS = 70;
/** Longest time from the first backend's reply to the decision if the other one replies slowly. Both may have run since. */
const MAX_CHECK_AGAIN_MS = 330;
/** Interval at which a backend that reads a long body is checked: it may refuse the request at the end of the body. */
const BODY_CHECK_MS = 100;

/** What is known about whether the backend of a backup runs. */
type BackendLiveness =
  | 'unknown'
  | 'replied'
  /** It has neither replied nor refused for as long as a backend that runs needs to accept. */
  | 'overdue';

/** A backup that was sent. */
export interface SentBackup {
  readonly attempt: Attempt;
  readonly backend: BackendRecord;
  /** Steady time at which it was sent. */
  readonly sentAt: number;
}

/** Options of {@link BackupAcceptance}. */
export interface BackupAcceptanceOptions {
  readonly context: Pick<GatewayContext, 'backendWatch' | 'control'>;
  readonly boundary: FaultBoundary;
  readonly log: RequestLog;
  /** The request's first attempt; undefined while it has none. */
  readonly first: () => Attempt | undefined;
  /** Called when the first attempt is to be given up. */
  readonly onAccepted: () => void;
  /** Called when the backend seems silent as well: it may refuse the request later. */
  readonly onOverdue: () => void;
  /** Called when this daemon reaches the first backend beside a relayed backup, which may not have reached its own. */
  readonly onFirstReached: () => void;
}

/** Watches one backup at a time, from the opening of its connection on. */
export class BackupAcceptance {
  private backup: SentBackup | undefined;
  private liveness: BackendLiveness = 'unknown';
  /** Steady time of the next decision. */
  private dueAt = 0;
  /** Whether the backend was still reading the body at the last check. */
  private isReadingBody = false;
  /** Whether the first attempt's backend has replied to a liveness check, or is not checked because the attempt is relayed. */
  private isFirstRunning = false;
  /** The first attempt whose backend has replied since the last start. */
  private runningFirst: Attempt | undefined;
  /** Whether the backup counts as accepted, and the first attempt's backend has not replied yet. */
  private isFirstAwaited = false;
  /** Steady time of the first backend's reply, from which on the backup's backend is checked again; undefined before. */
  private checkedAgainAt: number | undefined;
  private readonly timer: SilenceTimer;
  private readonly livenessCheck: LivenessCheck;
  private readonly firstLivenessCheck: LivenessCheck;

  constructor(private readonly options: BackupAcceptanceOptions) {
    const { boundary, context } = options;
    // A pause of this process counts too: meanwhile both backends go on, and a refusal that has come is read before the decision.
    const passed = boundary.guard(() => this.timePassed());
    this.timer = new SilenceTimer({ now: steadyNow }, passed);
    this.livenessCheck = new LivenessCheck({
      control: context.control,
      boundary,
      onReply: () => this.backendReplied(),
    });
    this.firstLivenessCheck = new LivenessCheck({
      control: context.control,
      boundary,
      onReply: () => this.firstBackendReplied(),
    });
  }

  /** Whether the backend has neither replied to a liveness check nor refused the request in time. */
  get isOverdue(): boolean {
    return this.liveness === 'overdue';
  }

  /** Whether the backend has replied to a liveness check. */
  get hasReplied(): boolean {
    return this.liveness === 'replied';
  }

  /** Begins to watch a backup whose connection is open. */
  start(backup: SentBackup): void {
    this.runningFirst = undefined;
    this.decideIn(ACCEPT_MS);
    this.watch(backup);
  }

  /**
   * Begins to watch again a backup that was overdue.
   *
   * @param repliedAt - Steady time of its backend's reply to a liveness check; undefined without one.
   */
  resume(backup: SentBackup, repliedAt: number | undefined): void {
    this.liveness = repliedAt === undefined ? 'overdue' : 'replied';
    if (repliedAt !== undefined)
      this.decideIn(Math.max(0, repliedAt + ACCEPT_AFTER_SILENCE_MS - steadyNow()));
    this.watch(backup);
  }

  private watch(backup: SentBackup): void {
    this.backup = backup;
    // A check would not reach the backend of a relayed backup.
    if (backup.attempt.relay !== undefined) return;
    if (!this.hasReplied) this.livenessCheck.start(backup.backend);
    const first = this.options.first();
    const wasRunning = first !== undefined && first === this.runningFirst;
    this.isFirstRunning = first?.relay !== undefined || wasRunning;
    if (first !== undefined && !this.isFirstRunning) this.firstLivenessCheck.start(first.backend);
  }

  /** Stops to watch, without a decision. */
  stop(): void {
    this.timer.stop();
    this.livenessCheck.stop();
    this.firstLivenessCheck.stop();
    this.isFirstRunning = false;
    this.isFirstAwaited = false;
    this.checkedAgainAt = undefined;
    this.liveness = 'unknown';
    this.isReadingBody = false;
    this.backup = undefined;
  }

  /**
   * A backend that runs has had time to refuse; no two backends may work on a request for longer. One that does not run works on nothing
   * and may refuse later, so both attempts go on until one is answered or it replies.
   */
  private timePassed(): void {
    const { backup } = this;
    if (backup === undefined) return;
    if (backup.attempt.relay !== undefined) return this.relayTimePassed(backup);
    if (this.liveness === 'replied') return this.acceptOnceRead(backup);
    this.liveness = 'overdue';
    this.logBackend('backup_backend_silent');
    this.options.onOverdue();
  }

  /** Waits if the backend has just read the body or still reads it. */
  private acceptOnceRead({ attempt }: SentBackup): void {
    const wasReading = this.isReadingBody;
    this.isReadingBody = !attempt.isBodyRead;
    if (this.isReadingBody) this.decideIn(BODY_CHECK_MS);
    else if (wasReading) this.decideIn(ACCEPT_AFTER_SILENCE_MS);
    else this.accepted();
  }

  /** Gives up the first attempt, unless its backend does not run: it then works on nothing, and may have the answer. */
  private accepted(): void {
    if (this.isFirstRunning) return this.options.onAccepted();
    this.isFirstAwaited = true;
    this.logFirst('silent_backend_awaited');
  }

  /** Handles the first reply of the first attempt's backend. The attempt's connection may now bring the answer. */
  private firstBackendReplied(): void {
    this.isFirstRunning = true;
    this.runningFirst = this.options.first();
    this.logFirst('silent_backend_replied');
    if (this.isFirstAwaited) this.checkAgain();
    else if (this.liveness === 'replied') this.waitAfterReply();
  }

  /** Checks the backup's backend again, because it may have fallen silent while the first one was awaited. */
  private checkAgain(): void {
    if (this.backup === undefined) return;
    this.isFirstAwaited = false;
    this.liveness = 'unknown';
    this.checkedAgainAt = steadyNow();
    this.livenessCheck.start(this.backup.backend);
    this.decideIn(ACCEPT_AFTER_SILENCE_MS);
  }

  /** Handles the first reply of the backend to the liveness check. */
  private backendReplied(): void {
    const wasOverdue = this.isOverdue;
    this.liveness = 'replied';
    this.logBackend('backup_backend_replied');
    if (wasOverdue) this.decideIn(this.acceptAfterSilenceMs());
    else this.waitAfterReply();
  }

  /** A backend that was checked again may have run all the time, beside the first one, and replied slowly. */
  private acceptAfterSilenceMs(): number {
    if (this.checkedAgainAt === undefined) return ACCEPT_AFTER_SILENCE_MS;
    const leftMs = this.checkedAgainAt + MAX_CHECK_AGAIN_MS - steadyNow();
    return Math.max(REFUSAL_MS, Math.min(leftMs, ACCEPT_AFTER_SILENCE_MS));
  }

  /** Puts the decision off if a reply came shortly before it: the backend may have gone on only now. */
  private waitAfterReply(): void {
    const leftMs = this.dueAt - steadyNow();
    if (leftMs >= REFUSAL_MS) return;
    this.decideIn(Math.max(0, Math.min(leftMs, 0) + REFUSAL_MS));
  }

  private decideIn(milliseconds: number): void {
    this.dueAt = steadyNow() + milliseconds;
    this.timer.start(milliseconds);
  }

  /**
   * The same for a relayed backup, which may not have reached its backend. It ends if this daemon reaches the first backend (again).
   * Otherwise both attempts go on for a time.
   */
  private relayTimePassed({ sentAt }: SentBackup): void {
    const { context, first, onAccepted, onFirstReached } = this.options;
    const { reachability } = context.backendWatch;
    const address = first()?.backendAddress;
    if (address !== undefined && !reachability.isUnreachable(address)) return onFirstReached();
    if (steadyNow() - sentAt >= RELAY_ACCEPT_MS) onAccepted();
    else this.decideIn(RELAY_CHECK_MS);
  }

  private logFirst(event: string): void {
    const first = this.options.first();
    if (this.backup === undefined || first === undefined) return;
    const backupSentMs = Math.round(steadyNow() - this.backup.sentAt);
    const sentMs = Math.round(first.ageMs);
    this.options.log(event, { backend: first.backendId, sentMs, backupSentMs });
  }

  private logBackend(event: string): void {
    if (this.backup === undefined) return;
    const { backend, sentAt } = this.backup;
    this.options.log(event, { backend: backend.id, sentMs: Math.round(steadyNow() - sentAt) });
  }
}
