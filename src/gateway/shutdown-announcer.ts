/**
 * Announces backend processes that are shutting down to the other daemons. A daemon learns of a shutdown from a response of the
 * backend or from the platform's list, applies it at once, and broadcasts it. A shutdown is final, even if the platform's store
 * has lost it.
 */
import { create } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import { backendProcessOf, type BackendProcess } from '../core/announced-shutdowns.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { BackendsLeavingSchema, LeavingBackendSchema } from '../proto/gen/internal_pb.js';
import { steadyNow } from './steady-clock.js';

/** Period at which an announcement is repeated. A message may be lost with a connection that is replaced. */
const REPEAT_PERIOD_MS = 1_000;
/** Number of times that an announcement is sent in all. Together they span more time than a silent connection is kept. */
const MAX_SENDS = 3;
/** Maximum number of entries accepted from one message. Our own daemons send fewer. */
const MAX_ENTRIES = 500;

/** Options of {@link ShutdownAnnouncer}. */
export interface ShutdownAnnouncerOptions {
  readonly directory: BackendDirectory;
  readonly logger: Logger;
  readonly broadcast: (body: PeerBody) => void;
  /** Called when a shutdown was not known before, so that requests waiting for the backend go to another one. */
  readonly onChange: () => void;
}

interface Announcement {
  readonly process: BackendProcess;
  sendCount: number;
}

/** Sends and receives the shutdown announcements of one daemon. */
export class ShutdownAnnouncer {
  private announcements: Announcement[] = [];
  private nextSendAt = Infinity;

  constructor(private readonly options: ShutdownAnnouncerOptions) {}

  /** Handles a shutdown that a backend announced in its response to a request of this daemon. `request` is the request's id. */
  recordShutdown(backend: BackendRecord, request: string | undefined): void {
    const { directory, logger, onChange } = this.options;
    const process = backendProcessOf(backend);
    if (!directory.markLeaving(process)) return;
    const { id, start } = process;
    logger.info('backend_leaving', { backend: id, start, source: 'answer', request });
    this.announce(backend);
    onChange();
  }

  /** Announces to the other daemons that a backend is shutting down. */
  announce(backend: BackendRecord): void {
    this.announcements.push({ process: backendProcessOf(backend), sendCount: 0 });
    this.send();
  }

  /** Repeats announcements that are due. Call it a few times per second. */
  tick(): void {
    if (steadyNow() >= this.nextSendAt) this.send();
  }

  /** Handles a message of another daemon. Returns false if the message is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case !== 'backendsLeaving') return false;
    const { directory, logger, onChange } = this.options;
    const received = body.value.backends.slice(0, MAX_ENTRIES).map(({ id, start }) => {
      return { id, ...(start === '' ? {} : { start }) };
    });
    const added = received.filter((process) => directory.markLeaving(process));
    for (const { id, start } of added) {
      logger.info('backend_leaving', { backend: id, start, source: 'peer', from });
    }
    if (added.length > 0) onChange();
    return true;
  }

  private send(): void {
    for (const entry of this.announcements) entry.sendCount += 1;
    const backends = this.announcements.map(({ process }) => create(LeavingBackendSchema, process));
    const value = create(BackendsLeavingSchema, { backends });
    this.options.broadcast({ case: 'backendsLeaving', value });
    this.announcements = this.announcements.filter(({ sendCount }) => sendCount < MAX_SENDS);
    this.nextSendAt = this.announcements.length === 0 ? Infinity : steadyNow() + REPEAT_PERIOD_MS;
  }
}
