/**
 * Reads the record of the software versions in service from the platform's store, and updates it. All daemons add versions that they
 * see, and a few add routes, one after the other in an order of ranks, so that usually one of them writes; the first few also extend and
 * shorten the record. No request waits for a write.
 */
import type { Result } from 'true-myth';
import { faultText, type Logger } from '../common/logger.js';
import { rankCandidates } from '../common/rendezvous.js';
import type { RouteHistory } from '../core/route-history.js';
import type { ClockReading, ServiceVersions } from '../core/service-versions.js';
import type { StorePosition } from '../core/store-position.js';
import type { StreamOrigin } from '../core/stream-origins.js';
import {
  inferFromRecord,
  MAX_RULES,
  nextVersionRecord,
  withSighting,
  type VersionRecord,
} from '../core/version-record.js';
import type { PeerGroup } from './peer-group.js';
import type { RecordFailure, RecordStore, StoredRecord } from './ports.js';
import { clocksNow, steadyNow } from './steady-clock.js';
import type { StreamTarget } from './stream-origin-codec.js';
import { parseVersionRecord } from './version-record-codec.js';

/** Name of the record; it is the only one of its kind. */
const RECORD_NAME = 'all';
/** Name by which daemons rank themselves. */
const RANK_NAME = 'software-versions';
/** Delay of a read before a write, for each daemon that ranks before this one, in milliseconds. */
const RANK_DELAY_MS = 100;
/**
 * Number of daemons that read the record when routes may have changed, and add them. It bounds the calls for each configuration; the
 * next in rank follow if one of them ends. Versions, which change more rarely, are added by all daemons.
 */
const WRITERS = 4;
/** Number of daemons that extend the covered time, remove versions, and read the record regularly. */
const MAINTAINERS = 3;
/** Interval between the regular reads of such a daemon, in milliseconds. */
const REREAD_INTERVAL_MS = 30_000;
/** Interval between checks whether there is something to write, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Maximum time since the read of a record from which an origin is inferred, and minimum interval of reads for that, in milliseconds. */
const MAX_AGE_MS = 1_000;
/** Delay after a failed call, which doubles up to the maximum, in milliseconds. */
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 8_000;

/** Options of {@link VersionRecorder}. */
export interface VersionRecorderOptions {
  readonly store: Pick<RecordStore, 'era' | 'read' | 'write'>;
  readonly logger: Logger;
  readonly versions: ServiceVersions;
  readonly routes: RouteHistory;
  /** This daemon and the other live ones. */
  readonly peers: Pick<PeerGroup, 'address' | 'live'>;
}

/** The stored record, as this daemon has last read or written it. */
interface KnownRecord {
  readonly record: VersionRecord | undefined;
  readonly revision: StorePosition | undefined;
  /** Steady time at which the read was sent. */
  readonly readAt: number;
  /** Steady time since which the record is known to have this revision. */
  readonly unchangedSince: number;
}

/** One daemon's access to the record. */
export class VersionRecorder {
  private known: KnownRecord | undefined;
  /** The call to the store that is under way. */
  private running: Promise<void> | undefined;
  /** Steady time from which the record may be read again for a resumption. */
  private mayReadAt = -Infinity;
  private endFirstRead: () => void = () => {};
  /** Resolves when the first read has ended, successfully or not. */
  private readonly firstRead = new Promise<void>((resolve) => (this.endFirstRead = resolve));
  /** Whether versions have appeared that the record may lack, whatever it was when last read. */
  private mustRead = true;
  /** The same for routes. */
  private mustReadRoutes = false;
  /** Whether a version has appeared since the last write. A daemon that saw it absent may be about to remove it. */
  private mustWrite = false;
  private dueAt: number | undefined;
  private checkAt = -Infinity;
  private retryMs = MIN_RETRY_MS;
  private era: number | undefined;
  private eraSince = -Infinity;

  constructor(private readonly options: VersionRecorderOptions) {}

  /** Handles that backends of a version or service have appeared. */
  versionAppeared(): void {
    this.mustRead = true;
    // The versions of the first list have not just appeared.
    this.mustWrite = this.known !== undefined;
    this.checkAt = -Infinity;
  }

  /** Handles that a configuration has come into force. */
  configurationChanged(): void {
    this.mustReadRoutes = true;
    this.checkAt = -Infinity;
  }

  /** Starts a call to the store if one is due; call it several times a second. */
  tick(): void {
    const now = clocksNow();
    this.followEra(now.steady);
    if (this.running !== undefined || !this.options.versions.hasObservedSince(now.steady, now))
      return;
    if (this.known === undefined) this.dueAt ??= now.steady;
    else if (now.steady >= this.checkAt) this.plan(this.known, now);
    if (this.dueAt === undefined || now.steady < this.dueAt) return;
    this.dueAt = undefined;
    void this.run();
  }

  /** Resolves when the record has been read lately, or a read has ended, successfully or not. */
  async refresh(): Promise<void> {
    await this.firstRead;
    const now = steadyNow();
    if (this.isRecent(now)) return;
    if (this.running === undefined && now < this.mayReadAt) return;
    this.mayReadAt = now + MAX_AGE_MS;
    await (this.running ?? this.run());
  }

  private isRecent(now: number): boolean {
    return this.known !== undefined && now - this.known.readAt <= MAX_AGE_MS;
  }

  private run(): Promise<void> {
    this.running = this.synchronize()
      .catch((fault: unknown) => this.retry('software_versions_fault', faultText(fault)))
      .finally(() => (this.running = undefined));
    return this.running;
  }

  /**
   * Infers the origin of a stream from the record, with the time since it was read; call `refresh` before. It must have been read lately,
   * and the daemon must have observed the backends since before the read, without a gap.
   */
  infer(target: StreamTarget): { origin: StreamOrigin; ageMs: number } | undefined {
    const { versions, routes, store } = this.options;
    const now = clocksNow();
    const { known } = this;
    if (known?.record === undefined || !this.isRecent(now.steady)) return undefined;
    if (!versions.hasObservedSince(known.readAt, now)) return undefined;
    const scope = routes.scopeOf(target.host, target.path, now.steady);
    if (scope === undefined) return undefined;
    const origin = inferFromRecord(known.record, {
      ...target,
      scope,
      era: store.era(),
      soleSeen: (sinceMs) => versions.soleSeen(scope.service, sinceMs, now),
    });
    return origin && { origin, ageMs: now.steady - known.readAt };
  }

  /** Restarts the observed time if the store was restored from a backup: backends may not be registered again yet. */
  private followEra(now: number): void {
    const era = this.options.store.era();
    if (era === this.era) return;
    this.era = era;
    this.eraSince = now;
    this.mustRead = true;
  }

  private plan(known: KnownRecord, now: ClockReading): void {
    this.checkAt = now.steady + CHECK_INTERVAL_MS;
    const rank = this.rank();
    const isDue = this.mustRead || (rank < WRITERS && this.isWriteDue(known, now));
    this.dueAt = isDue ? (this.dueAt ?? now.steady + rank * RANK_DELAY_MS) : undefined;
  }

  private isWriteDue(known: KnownRecord, now: ClockReading): boolean {
    const isOld = this.rank() < MAINTAINERS && now.steady - known.readAt >= REREAD_INTERVAL_MS;
    return this.mustReadRoutes || isOld || this.next(known, now) !== undefined;
  }

  private rank(): number {
    const { peers } = this.options;
    const addresses = peers.live().map(({ address }) => address);
    return Math.max(0, rankCandidates(RANK_NAME, addresses).indexOf(peers.address));
  }

  private next(known: KnownRecord, now: ClockReading): VersionRecord | undefined {
    const { era } = this;
    if (era === undefined) return undefined;
    const { versions, routes } = this.options;
    return nextVersionRecord(known.record, {
      era,
      observedMs: Math.min(versions.observedMs(now), now.steady - this.eraSince),
      unchangedMs: now.steady - known.unchangedSince,
      ages: versions.ages(now),
      rules: routes.rules(now.steady, MAX_RULES),
      maintains: this.rank() < MAINTAINERS,
    });
  }

  /** Reads the record, and replaces it if it lacks something or holds too much. */
  private async synchronize(): Promise<void> {
    const readAt = steadyNow();
    this.mustRead = false;
    this.mustReadRoutes = false;
    const read = await this.options.store.read('softwareVersions', RECORD_NAME);
    this.followEra(steadyNow());
    const known = read.map((stored) => this.recordRead(stored, readAt));
    this.endFirstRead();
    if (known.isErr) return this.fail('software_versions_unread', known.error);
    await this.update(known.value);
  }

  private async update(known: KnownRecord): Promise<void> {
    const next = this.next(known, clocksNow()) ?? this.sighted(known);
    if (next !== undefined) this.recordWritten(known, next, await this.write(known, next));
    else this.retryMs = MIN_RETRY_MS;
  }

  /** Returns the record with one more sighting if a version has appeared that it contains already, and this daemon ranks first. */
  private sighted({ record }: KnownRecord): VersionRecord | undefined {
    if (!this.mustWrite || record === undefined || record.era !== this.era) return undefined;
    return this.rank() < WRITERS ? withSighting(record) : undefined;
  }

  private recordRead(stored: StoredRecord | undefined, readAt: number): KnownRecord {
    const record = stored && parseVersionRecord(stored.value);
    const revision = stored?.revision;
    if (stored !== undefined && record === undefined)
      this.options.logger.error('software_versions_unreadable', { revision });
    const isSame = this.known !== undefined && this.known.revision === revision;
    const unchangedSince = isSame ? this.known!.unchangedSince : steadyNow();
    this.known = { record, revision, readAt, unchangedSince };
    if (!isSame) this.options.logger.info('software_versions_read', fieldsOf(record, revision));
    return this.known;
  }

  private write(
    { revision }: KnownRecord,
    next: VersionRecord,
  ): Promise<Result<StoredRecord, RecordFailure>> {
    return this.options.store.write('softwareVersions', RECORD_NAME, next, revision);
  }

  private recordWritten(
    { readAt }: KnownRecord,
    record: VersionRecord,
    written: Result<StoredRecord, RecordFailure>,
  ): void {
    if (written.isErr) {
      this.mustRead = true;
      return this.fail('software_versions_unwritten', written.error);
    }
    const { revision } = written.value;
    this.known = { record, revision, readAt, unchangedSince: steadyNow() };
    this.mustWrite = false;
    this.retryMs = MIN_RETRY_MS;
    this.options.logger.info('software_versions_written', fieldsOf(record, revision));
  }

  private fail(event: string, failure: RecordFailure): void {
    this.retry(event, failure.type === 'conflict' ? failure.type : failure.reason);
  }

  private retry(event: string, reason: string): void {
    this.mustRead = true;
    this.dueAt = steadyNow() + this.retryMs;
    this.options.logger.warn(event, { reason, retryMs: this.retryMs });
    this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
  }
}

function fieldsOf(
  record: VersionRecord | undefined,
  revision: StorePosition | undefined,
): Readonly<Record<string, number | undefined>> {
  const versions = record?.services.map((entry) => entry.versions.length) ?? [];
  return {
    revision,
    era: record?.era,
    services: versions.length,
    mostVersions: Math.max(0, ...versions),
    rules: record?.rules.length,
  };
}
