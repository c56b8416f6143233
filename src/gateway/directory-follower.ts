/**
 * Decides how closely this daemon follows the platform's directory. Service owners and a few
 * other daemons, the designated readers, read it without delay. They broadcast at once which
 * backends have started or ended, and periodically that they run and whether the platform
 * responds to them. All other daemons read with a delay, or closely if they receive no
 * reader's updates. That a reader runs does not prove that it can read the directory: while
 * the platform responds to none of the readers, the next daemons in rank read and publish in
 * their place. Nor does it prove that this daemon received every update: readers repeat
 * changes and send a digest of the backends that they list. A daemon whose own backends
 * differ from that digest reads the directory itself.
 */
import type { Logger } from '../common/logger.js';
import { leaseNow } from '../common/lease-clock.js';
import { rankCandidates } from '../common/rendezvous.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { BackendList, PresenceChanges } from '../core/backend-presence.js';
import { highCapacityMembers } from '../core/roles.js';
import type { BackendRecord } from '../core/service-configuration.js';
import { eraOf, revisionOf, type StorePosition } from '../core/store-position.js';
import { RecentChanges } from '../core/recent-changes.js';
import type { DirectoryNews } from '../proto/gen/internal_pb.js';
import { decodeDirectoryReport, encodeDirectoryReport } from './gateway-codec.js';
import { KnownReaders } from './known-readers.js';
import type { PeerGroup } from './peer-group.js';
import type { DirectoryReadMode, PlatformDirectory } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Number of daemons, besides the owners, that follow the directory closely. */
const CLOSE_READERS = 2;
/** Number of readers and standbys together. Standbys, next in rank, replace readers to which the platform does not respond. */
const READERS_AND_STANDBYS = 6;
/**
 * Maximum age of a read that still counts as the current state of the platform. A watch is renewed
 * after 0.8 s, and its response may be slow.
 */
const MAX_CURRENT_AGE_MS = 1_800;
/** Period of updates without changes: twice within the silence after which a reader no longer counts. */
const PUBLISH_PERIOD_MS = 700;

/** Options of {@link DirectoryFollower}. */
export interface DirectoryFollowerOptions {
  readonly directory: PlatformDirectory;
  readonly backends: BackendDirectory;
  readonly peers: PeerGroup;
  readonly logger: Logger;
  /** Version of the newest configuration in force on this daemon; 0 for none. */
  readonly version: () => number;
  readonly ownsService: () => boolean;
  /** Number of requests that this daemon has in flight at a backend. */
  readonly inFlightAt: (backend: string) => number;
  /** Called when the list shows that a backend is shutting down. The others must learn it even if the list loses it later. */
  readonly onLeaving: (backend: BackendRecord) => void;
  /** Called when backends have started or ended, by the list or by a reader's update. */
  readonly onChange: () => void;
}

/** How this daemon learned of a change. */
type ChangeSource =
  | 'list'
  /** A read that may be late, of a change that no reader's update had contained. */
  | 'late_list'
  /** An entry that was missing after an outage did not return in time. */
  | 'hold_over'
  | 'reader';

/** Follows the directory for one daemon. */
export class DirectoryFollower {
  private attention: DirectoryReadMode = 'alone';
  /** Whether this daemon owns a service or ranks high enough to read closely and publish what it reads. */
  private isDesignatedReader = false;
  private readonly readers = new KnownReaders();
  private readonly recent = new RecentChanges();
  /** Lease time at which a difference from a reader's backends was found; undefined while none is known. */
  private mustReadSince: number | undefined;
  private lastPublished = -Infinity;
  /** Store position of the last list. */
  private listedAt: StorePosition = 0;
  /** Whether the last published update said that the platform does not respond. */
  private publishedPlatformAway = false;

  constructor(private readonly options: DirectoryFollowerOptions) {}

  /** Updates the state of the readers and publishes if due. Call it a few times per second. */
  tick(): void {
    const knownAt = leaseNow();
    this.readers.deleteExpired(knownAt);
    this.checkOwnRead(knownAt);
    this.checkDifference(knownAt);
    this.chooseAttention(knownAt);
    const now = steadyNow();
    const ended = this.options.backends.expireMissing(now);
    if (ended.length > 0) this.changed({ ended, started: [] }, 'hold_over');
    const isDue = now - this.lastPublished >= PUBLISH_PERIOD_MS;
    if (isDue || this.isPlatformAway() !== this.publishedPlatformAway) this.publish();
  }

  /**
   * Whether this daemon's view of the directory counts as current: it was read recently, by this daemon
   * or by a reader, and no reader has a newer configuration.
   */
  isCurrent(): boolean {
    const isAnswered =
      this.attention === 'relaxed' ? this.hasWorkingReader() : !this.isPlatformAway();
    return isAnswered && this.readers.newestVersion() <= this.options.version();
  }

  /**
   * Milliseconds since the platform responded to this daemon, without delay, or since the last update of a
   * reader to which it responds; infinite if neither is known. Updates do not count while the reader lists other backends.
   */
  directoryAgeMs(): number {
    const updatedAt =
      this.mustReadSince === undefined ? this.readers.workingReaderUpdatedAt() : -Infinity;
    const updateAgeMs = leaseNow() - updatedAt;
    return Math.min(this.options.directory.lastReadAgeMs(), updateAgeMs);
  }

  /** Whether this daemon receives updates of a reader to which the platform responds. */
  hasWorkingReader(): boolean {
    return this.readers.hasWorkingReader(leaseNow());
  }

  /** Applies a changed list of the platform. */
  applyList(list: BackendList): void {
    this.listedAt = list.revision;
    const changes = this.options.backends.setBackends(list, steadyNow());
    if (this.isDesignatedReader) this.announceLeaving(changes);
    this.changed(changes, this.attention === 'relaxed' ? 'late_list' : 'list');
  }

  private announceLeaving({ ended }: PresenceChanges): void {
    for (const { id } of ended) {
      const backend = this.options.backends.get(id);
      if (backend?.leaving === true) this.options.onLeaving(backend);
    }
  }

  /** Publishes that a newer configuration is in force on this daemon. */
  configurationChanged(): void {
    this.publish();
  }

  /** Applies the update of another daemon that reads the directory closely. */
  applyUpdate(from: string, message: DirectoryNews): void {
    const { backends, ownsService, onChange } = this.options;
    const now = steadyNow();
    const update = decodeDirectoryReport(message, eraOf(this.listedAt));
    const { platformAway, configurationVersion: version, servingDigest } = update;
    const ended = update.ended.filter((end) => backends.markEnded(end));
    // An owner plans with complete records, which its own reads return just as early.
    const started = ownsService()
      ? []
      : update.started.filter((record) => backends.addAnnounced(record, now));
    const status = { platformAway, version, servingDigest };
    this.readers.recordStatus(from, status, backends.servingDigest(), leaseNow());
    if (ended.length + started.length === 0) return;
    // Designated readers publish the change too, because the reader that published it first may not reach all daemons.
    this.recent.add({ ended, started }, now);
    this.log({ ended, started }, 'reader', from);
    onChange();
  }

  private changed(changes: PresenceChanges, source: ChangeSource): void {
    const { ended, started } = changes;
    if (ended.length + started.length > 0) {
      this.recent.add(changes, steadyNow());
      this.log(changes, source);
      this.publish();
    }
    this.options.onChange();
  }

  private publish(): void {
    if (!this.isDesignatedReader) return;
    const now = steadyNow();
    this.lastPublished = now;
    const platformAway = this.isPlatformAway();
    this.publishedPlatformAway = platformAway;
    const update = {
      ...this.recent.all(now),
      configurationVersion: this.options.version(),
      platformAway,
      servingDigest: this.options.backends.servingDigest(),
    };
    this.options.peers.broadcast(encodeDirectoryReport(update));
  }

  private isPlatformAway(): boolean {
    return this.options.directory.lastReadAgeMs() > MAX_CURRENT_AGE_MS;
  }

  /** If its backends differ from a reader's list, this daemon reads the directory once before it relies on readers again. */
  private checkDifference(now: number): void {
    const { backends, logger } = this.options;
    if (this.attention !== 'relaxed' || this.mustReadSince !== undefined) return;
    const reader = this.readers.differingReader(backends.servingDigest(), now);
    if (reader === undefined) return;
    this.mustReadSince = now;
    logger.info('directory_difference', { reader, backends: backends.all().length });
  }

  private checkOwnRead(now: number): void {
    if (this.mustReadSince === undefined) return;
    const readAt = now - this.options.directory.lastReadAgeMs();
    if (readAt <= this.mustReadSince) return;
    this.mustReadSince = undefined;
    this.readers.markDifferencesChecked(now);
  }

  private chooseAttention(now: number): void {
    const attention = this.wantedAttention(now);
    if (attention === this.attention) return;
    this.attention = attention;
    this.options.logger.info('directory_attention', { attention, ...this.readers.counts(now) });
    this.options.directory.setReadMode(attention);
  }

  private wantedAttention(now: number): DirectoryReadMode {
    const ownsService = this.options.ownsService();
    const ranked = this.readersAndStandbys();
    const position = ranked.indexOf(this.options.peers.address);
    const isReader = position >= 0 && position < CLOSE_READERS;
    const replacesReader =
      position >= CLOSE_READERS && !this.hasWorkingDesignatedReader(ranked, now);
    // A daemon that is merely cut off from the designated readers also reads closely, but does not publish.
    this.isDesignatedReader = ownsService || isReader || replacesReader;
    if (ownsService) return 'immediate';
    if (this.isDesignatedReader) return 'close';
    const isAlone = this.readers.counts(now).readers === 0 || this.mustReadSince !== undefined;
    return isAlone ? 'alone' : 'relaxed';
  }

  /** Addresses of the readers and their standbys, highest rank ranked. */
  private readersAndStandbys(): string[] {
    const candidates = highCapacityMembers(this.options.peers.live()).map(
      (member) => member.address,
    );
    return rankCandidates('directory', candidates).slice(0, READERS_AND_STANDBYS);
  }

  /** Whether the platform responds to a designated reader. Standbys do not count, or they would replace one another. */
  private hasWorkingDesignatedReader(ranked: readonly string[], now: number): boolean {
    return this.readers.hasWorkingReader(now, new Set(ranked.slice(CLOSE_READERS)));
  }

  /**
   * Logs changes only on designated readers, where requests are affected, and where updates were missed:
   * hundreds of daemons receive the same update.
   */
  private log({ ended, started }: PresenceChanges, source: ChangeSource, from?: string): void {
    const { inFlightAt, logger } = this.options;
    const { isDesignatedReader } = this;
    const isAlwaysLogged = isDesignatedReader || source === 'late_list';
    const told = isDesignatedReader ? this.options.peers.reachableOthers().length : undefined;
    const logged = ended.filter(({ id }) => isAlwaysLogged || inFlightAt(id) > 0);
    for (const { id, revision: position } of logged) {
      const [revision, era] = [revisionOf(position), eraOf(position)];
      const inFlight = inFlightAt(id);
      logger.info('backend_ended', { backend: id, revision, era, inFlight, source, from, told });
    }
    if (!isDesignatedReader) return;
    for (const { id, revision: position, address, softwareVersion: version } of started) {
      const [revision, era] = [revisionOf(position), eraOf(position)];
      logger.info('backend_started', { backend: id, revision, era, address, version });
    }
  }
}
