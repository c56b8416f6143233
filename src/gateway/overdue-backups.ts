/**
 * The backups of one request whose backends seem silent, beside a further one that has not accepted the request yet. A backend that
 * does not run works on nothing and may still have the answer, so its attempt goes on until another one is accepted.
 */
import type { FaultBoundary } from '../common/fault-boundary.js';
import type { Attempt } from './attempt.js';
import type { GatewayContext } from './gateway-context.js';
import { LivenessCheck } from './liveness-check.js';
import type { Backup } from './request-backup.js';
import { steadyNow } from './steady-clock.js';

/** Time from the first reply of a backend to the end of its attempt. Two backends may work on one request for 400 ms at most. */
const MAX_RUN_MS = 200;

interface Entry {
  readonly backup: Backup;
  readonly check: LivenessCheck;
  timer: NodeJS.Timeout | undefined;
  repliedAt: number | undefined;
}

/** A backup that is not overdue any more. */
export interface FormerlyOverdue {
  readonly backup: Backup;
  /** Steady time of its backend's first reply to a liveness check; undefined without one. */
  readonly repliedAt: number | undefined;
}

/** Options of {@link OverdueBackups}. */
export interface OverdueBackupsOptions {
  readonly context: Pick<GatewayContext, 'control'>;
  readonly boundary: FaultBoundary;
  /** Called when a backend has replied to a liveness check. */
  readonly onReply: (backup: Backup) => void;
  /** Called some time after that, if the backup is still overdue. */
  readonly onExpired: (backup: Backup) => void;
}

/** Keeps backups and checks their backends. */
export class OverdueBackups {
  private entries: readonly Entry[] = [];

  constructor(private readonly options: OverdueBackupsOptions) {}

  get size(): number {
    return this.entries.length;
  }

  get all(): readonly Backup[] {
    return this.entries.map(({ backup }) => backup);
  }

  /** Returns the backup of an attempt; undefined if it is none of these. */
  find(attempt: Attempt): Backup | undefined {
    return this.all.find((backup) => backup.attempt === attempt);
  }

  add(backup: Backup): void {
    const { context, boundary } = this.options;
    const onReply = (): void => this.replied(entry);
    const check = new LivenessCheck({ control: context.control, boundary, onReply });
    const entry: Entry = { backup, check, timer: undefined, repliedAt: undefined };
    this.entries = [...this.entries, entry];
    if (backup.backend !== undefined) check.start(backup.backend);
  }

  /** Removes a backup, whose backend is not checked any more. */
  remove(backup: Backup): FormerlyOverdue {
    const removed = this.entries.find((entry) => entry.backup === backup);
    removed?.check.stop();
    clearTimeout(removed?.timer);
    this.entries = this.entries.filter((entry) => entry !== removed);
    return { backup, repliedAt: removed?.repliedAt };
  }

  /** Removes and returns the newest backup; undefined if there is none. */
  takeNewest(): FormerlyOverdue | undefined {
    const newest = this.all.at(-1);
    return newest && this.remove(newest);
  }

  private replied(entry: Entry): void {
    const { boundary, onReply, onExpired } = this.options;
    const expired = boundary.guard(() => onExpired(entry.backup));
    entry.repliedAt = steadyNow();
    entry.timer = setTimeout(expired, MAX_RUN_MS);
    onReply(entry.backup);
  }
}
