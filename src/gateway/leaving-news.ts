/**
 * Processes of backends that leave, as their own answers or the platform's list tell it: known at once at the daemon that has the
 * answer or the list, and told to the others. It is never taken back, also when the platform's store has lost it.
 */
import { create } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import { backendProcessOf, type BackendProcess } from '../core/announced-shutdowns.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { BackendsLeavingSchema, LeavingBackendSchema } from '../proto/gen/internal_pb.js';
import { steadyNow } from './steady-clock.js';

/** Between two sendings of the same: one may be lost with a connection that is replaced. */
const SEND_PERIOD_MS = 1_000;
/** So many sendings in all, over longer than a silent connection is kept. */
const MOST_SENDINGS = 3;
/** Entries of a message that are read; a daemon of our own tells fewer. */
const MOST_ENTRIES = 500;

/** Options of {@link LeavingNews}. */
export interface LeavingNewsOptions {
  readonly directory: BackendDirectory;
  readonly logger: Logger;
  readonly broadcast: (body: PeerBody) => void;
  /** Something was not known before: what waits for the backend goes elsewhere. */
  readonly onChange: () => void;
}

interface Announcement {
  readonly process: BackendProcess;
  sendings: number;
}

/** One daemon's part. */
export class LeavingNews {
  private announcements: Announcement[] = [];
  private sendAt = Infinity;

  constructor(private readonly options: LeavingNewsOptions) {}

  /** A backend has said so in an answer to a request of this daemon. */
  answered(backend: BackendRecord, request: string | undefined): void {
    const { directory, logger, onChange } = this.options;
    const process = backendProcessOf(backend);
    if (!directory.markLeaving(process)) return;
    const { id, start } = process;
    logger.info('backend_leaving', { backend: id, start, source: 'answer', request });
    this.announce(backend);
    onChange();
  }

  /** Tells the others that a backend leaves. */
  announce(backend: BackendRecord): void {
    this.announcements.push({ process: backendProcessOf(backend), sendings: 0 });
    this.send();
  }

  /** Looks at the clock; call it a few times a second. */
  tick(): void {
    if (steadyNow() >= this.sendAt) this.send();
  }

  /** Takes a message of another daemon; false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case !== 'backendsLeaving') return false;
    const { directory, logger, onChange } = this.options;
    const heard = body.value.backends.slice(0, MOST_ENTRIES).map(({ id, start }) => {
      return { id, ...(start === '' ? {} : { start }) };
    });
    const news = heard.filter((process) => directory.markLeaving(process));
    for (const { id, start } of news) {
      logger.info('backend_leaving', { backend: id, start, source: 'peer', from });
    }
    if (news.length > 0) onChange();
    return true;
  }

  private send(): void {
    for (const entry of this.announcements) entry.sendings += 1;
    const backends = this.announcements.map(({ process }) => create(LeavingBackendSchema, process));
    const value = create(BackendsLeavingSchema, { backends });
    this.options.broadcast({ case: 'backendsLeaving', value });
    this.announcements = this.announcements.filter(({ sendings }) => sendings < MOST_SENDINGS);
    this.sendAt = this.announcements.length === 0 ? Infinity : steadyNow() + SEND_PERIOD_MS;
  }
}
