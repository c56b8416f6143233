/**
 * The backup of a request whose backend is silent: a second attempt at another backend, while the first one goes on. The first one is
 * given up only when the other backend has begun to answer, or when both backends run and the other one has kept the request for a time
 * without refusing it. A backend that is silent for a second may still answer, and the other one may be silent as well and full.
 */
import type { FaultBoundary } from '../common/fault-boundary.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { Attempt } from './attempt.js';
import { BackupAcceptance } from './backup-acceptance.js';
import type { GatewayContext } from './gateway-context.js';
import type { InFlightEntry } from './in-flight-entry.js';
import { OverdueBackups, type FormerlyOverdue } from './overdue-backups.js';
import type { RequestDispatch } from './request-dispatch.js';
import type { RequestLog } from './request-log.js';
import { steadyNow } from './steady-clock.js';

/** No backup goes to a backend that has been silent for this part of the time after which the first one counts as silent. */
const MAX_SILENCE_SHARE = 0.75;

/** What an attempt holds at its backend. */
export interface AttemptResources {
  readonly search: RequestDispatch;
  readonly inFlight: InFlightEntry;
}

/** A backup that waits for a slot, or was sent. */
export interface Backup extends AttemptResources {
  /** Undefined until the backup is sent. */
  readonly attempt: Attempt | undefined;
  /** Undefined until the backup is sent. */
  readonly backend: BackendRecord | undefined;
  /** Steady time at which it was sent; 0 before. */
  readonly sentAt: number;
}

/** Options of {@link RequestBackup}. */
export interface RequestBackupOptions {
  readonly context: Pick<GatewayContext, 'paths' | 'backendWatch' | 'control'>;
  readonly boundary: FaultBoundary;
  readonly log: RequestLog;
  /** The request's first attempt; undefined while it has none. */
  readonly first: () => Attempt | undefined;
  /** Backends that could take the request now; untried ones only during a backoff. */
  readonly alternatives: () => readonly BackendRecord[];
  readonly makeSearch: () => RequestDispatch;
  readonly makeInFlightEntry: () => InFlightEntry;
  /** Reserves a retry. Returns false if the request may not be sent to a second backend. */
  readonly reserve: () => boolean;
  /** Sends the request to a backend. Returns undefined if it may not be sent there any more. */
  readonly send: (backend: BackendRecord, resources: AttemptResources) => Attempt | undefined;
  /** Whether the request could run at one more backend beside its first attempt, its backup, and that many overdue ones. */
  readonly mayReplace: (overdue: number) => boolean;
  /** Called when a backup's attempt is cancelled while the first one goes on. It may have run. */
  readonly onCancelled: (attempt: Attempt) => void;
}

/** Starts and ends the backups of one request: one at a time, beside those whose backends seem silent. */
export class RequestBackup {
  private backup: Backup | undefined;
  private readonly acceptance: BackupAcceptance;
  private readonly overdue: OverdueBackups;
  /** The sending of a backup that has its slot. */
  private sending: NodeJS.Immediate | undefined;

  constructor(private readonly options: RequestBackupOptions) {
    const { context, boundary, log, first } = options;
    this.acceptance = new BackupAcceptance({
      context,
      boundary,
      log,
      first,
      onAccepted: () => this.replaceFirst(),
      onOverdue: () => this.replaceIfOverdue(),
      onFirstReached: () => this.cancel(),
    });
    this.overdue = new OverdueBackups({
      context,
      boundary,
      onReply: (backup) => this.overdueReplied(backup),
      onExpired: (backup) => this.overdueExpired(backup),
    });
  }

  /** The attempts of all backups that were sent. */
  get attempts(): readonly Attempt[] {
    const backups = [...this.overdue.all, this.backup];
    return backups.flatMap((backup) => backup?.attempt ?? []);
  }

  private get attempt(): Attempt | undefined {
    return this.backup?.attempt;
  }

  /** Whether a backup waits for a slot, is about to be sent or was sent. */
  get isOpen(): boolean {
    return this.backup !== undefined;
  }

  /** Whether a search looks for the backup's backend. */
  owns(search: RequestDispatch): boolean {
    return this.backup?.search === search;
  }

  /** Starts a backup if there is another path, or if another backend that is not silent as well could take the request. */
  startIfPossible(): void {
    if (this.hasAlternative()) this.start();
  }

  /** Whether there is another path, or another backend that is not silent as well and could take the request. */
  private hasAlternative(): boolean {
    if (this.hasOtherPath()) return true;
    return this.options.alternatives().some((backend) => this.maySelect(backend));
  }

  /** Whether the first attempt uses a connection of this daemon, and all backends are reached only through other daemons. */
  private hasOtherPath(): boolean {
    const { paths, backendWatch } = this.options.context;
    if (!backendWatch.reachability.isPartitioned || paths.isCutOff()) return false;
    return this.options.first()?.relay === undefined;
  }

  /** Starts a backup if the request may be sent again. */
  start(): void {
    if (this.isOpen || this.options.first()?.isReplaceable !== true) return;
    if (!this.options.reserve()) return;
    const search = this.options.makeSearch();
    const inFlight = this.options.makeInFlightEntry();
    this.backup = { search, inFlight, attempt: undefined, backend: undefined, sentAt: 0 };
    search.next();
  }

  /** Whether a backup may be sent to a backend: not to that of the first attempt on the same path, nor to one that is silent too. */
  maySelect(backend: BackendRecord): boolean {
    const first = this.options.first();
    if (first === undefined) return true;
    if (this.options.context.paths.isRelayed(backend.address)) return first.relay === undefined;
    if (this.overdue.all.some((overdue) => overdue.backend?.id === backend.id)) return false;
    return backend.id !== first.backendId && !this.isSilent(backend, first.silenceLimit);
  }

  /** Sends the request to a backend that has a slot for the backup, unless the first attempt's answer has arrived and is not read yet. */
  sendTo(backend: BackendRecord): void {
    // Immediates run after the sockets were read. After a pause of this process, the slot may be granted before.
    this.sending = setImmediate(this.options.boundary.guard(() => this.send(backend)));
  }

  private send(backend: BackendRecord): void {
    const { backup } = this;
    if (backup === undefined) return;
    const sentAt = steadyNow();
    const attempt = this.options.send(backend, backup);
    if (attempt === undefined) return this.end();
    this.backup = { ...backup, attempt, backend, sentAt };
  }

  /** Handles that an attempt's connection is open. Until then, the backup's backend cannot refuse the request. */
  attemptOpened(attempt: Attempt): void {
    if (attempt !== this.attempt) return;
    const { backend, sentAt } = this.backup ?? {};
    if (backend !== undefined && sentAt !== undefined)
      this.acceptance.start({ attempt, backend, sentAt });
  }

  /** Starts another backup beside one at a backend that seems silent as well, if that is possible by now. */
  replaceIfOverdue(): void {
    const { backup } = this;
    if (backup === undefined || !this.acceptance.isOverdue || !this.hasAlternative()) return;
    if (!this.options.mayReplace(this.overdue.size) || !this.options.reserve()) return;
    this.setAside(backup);
    this.start();
    if (!this.isOpen) this.resumeOverdue();
  }

  private setAside(backup: Backup): void {
    this.acceptance.stop();
    this.backup = undefined;
    this.overdue.add(backup);
  }

  /** Continues with the newest overdue backup if there is no other one. */
  resumeOverdue(): void {
    if (this.isOpen) return;
    const overdue = this.overdue.takeNewest();
    if (overdue !== undefined) this.resume(overdue);
  }

  private resume({ backup, repliedAt }: FormerlyOverdue): void {
    const { attempt, backend, sentAt } = backup;
    this.backup = backup;
    if (attempt !== undefined && backend !== undefined)
      this.acceptance.resume({ attempt, backend, sentAt }, repliedAt);
  }

  /** Prefers an overdue backup whose backend runs to one that was not sent or whose backend has not replied. */
  private overdueReplied(overdue: Backup): void {
    const { backup } = this;
    if (this.acceptance.hasReplied) return;
    const former = this.overdue.remove(overdue);
    if (backup?.attempt === undefined) this.release(backup);
    else this.setAside(backup);
    this.resume(former);
  }

  /** Decides between two backups whose backends run: the newer one has not been refused for a time. */
  private overdueExpired(overdue: Backup): void {
    if (!this.acceptance.hasReplied) return this.overdueReplied(overdue);
    this.cancelOverdue(overdue);
  }

  private cancelOverdue(...backups: readonly Backup[]): void {
    for (const backup of backups) {
      this.overdue.remove(backup);
      if (backup.attempt !== undefined) this.options.onCancelled(backup.attempt);
      this.release(backup);
    }
  }

  /** Searches again for a backup that waits for a slot, because the backends have changed. */
  recheck(): void {
    const search = this.backup?.search;
    if (search?.isPending === true) search.next();
  }

  /** Handles a restart of a backend under the same id. */
  backendRestarted({ id, address }: BackendRecord): void {
    this.backup?.search.backendRestarted(id);
    for (const { backend, inFlight, attempt } of this.overdue.all) {
      if (backend?.id !== id) continue;
      inFlight.end();
      attempt?.backendRestarted(address);
    }
    // The backup lost its place in the queue. Another one starts when the silence is reported next.
    if (this.attempt === undefined && this.backup?.search.isPending === false) return this.end();
    if (this.attempt?.backendId !== id) return;
    this.backup?.inFlight.end();
    this.attempt.backendRestarted(address);
  }

  /** Decides between the two attempts when one of them has a part of an answer. */
  attemptProgressed(attempt: Attempt): void {
    if (!this.isOpen) return;
    const overdue = this.overdue.find(attempt);
    if (overdue !== undefined) {
      const former = this.overdue.remove(overdue);
      this.cancelCurrent();
      this.resume(former);
    }
    if (attempt === this.attempt) return this.replaceFirst();
    this.cancelOverdue(...this.overdue.all);
    this.cancel();
  }

  /** Ends the backup of an attempt that has ended. */
  attemptEnded(attempt: Attempt, hasFailed: boolean): void {
    const overdue = this.overdue.find(attempt);
    if (overdue === undefined) return this.end(hasFailed);
    this.overdue.remove(overdue);
    this.release(overdue, hasFailed);
  }

  /**
   * Ends the backup, if there is one, and continues with an overdue one.
   *
   * @param hasFailed - Whether its backend has failed the request.
   */
  end(hasFailed = false): void {
    this.release(this.detach(), hasFailed);
    this.resumeOverdue();
  }

  /** Ends all backups. */
  endAll(): void {
    for (const backup of this.overdue.all) {
      this.overdue.remove(backup);
      this.release(backup);
    }
    this.end();
  }

  private release(backup: Backup | undefined, hasFailed = false): void {
    backup?.attempt?.abort();
    backup?.inFlight.end();
    backup?.search.release(hasFailed);
  }

  /**
   * Returns the backup, which is from now on the request's first attempt or its search; undefined if there is none. One that was sent
   * is preferred.
   */
  take(): Backup | undefined {
    if (this.attempt === undefined && this.overdue.size > 0) this.end();
    return this.detach();
  }

  private detach(): Backup | undefined {
    const { backup } = this;
    clearImmediate(this.sending);
    this.acceptance.stop();
    // The slot of a backup that was not sent would be claimed twice by a further search.
    if (backup?.attempt === undefined && backup?.search.isPending === false)
      backup.search.release();
    this.backup = undefined;
    return backup;
  }

  /** Cancels the backup; the first attempt goes on. */
  private cancel(): void {
    this.cancelCurrent();
    this.resumeOverdue();
  }

  private cancelCurrent(): void {
    if (this.attempt !== undefined) this.options.onCancelled(this.attempt);
    this.release(this.detach());
  }

  /** Ends the first attempt; its request then continues with the backup. */
  private replaceFirst(): void {
    const first = this.options.first();
    this.cancelOverdue(...this.overdue.all);
    first?.giveUpSilent(`silent for ${Math.round(first.silenceLimit)} ms or more`);
  }

  /** Whether a backend with requests of this daemon in flight has been silent for nearly as long as the limit. */
  private isSilent({ address }: BackendRecord, limitMs: number): boolean {
    const { reachability } = this.options.context.backendWatch;
    return reachability.silentMs(address, steadyNow()) > limitMs * MAX_SILENCE_SHARE;
  }
}
