/**
 * How closely this daemon follows the platform's directory. Owners and a few others
 * read it without delay and tell the rest at once of backends that start or end, that
 * they live, and whether the platform answers them; the rest reads late, and closely
 * when it hears of nobody. A reader that lives proves nothing of what it reads: while
 * the platform answers none of them, the next in rank read and tell in their place.
 * Nor does it prove that this daemon was told everything: readers tell changes more than
 * once, and a digest of what they list, and who holds other backends reads for itself.
 */
import type { Logger } from '../common/logger.js';
import { leaseNow } from '../common/lease-clock.js';
import { rankCandidates } from '../common/rendezvous.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { BackendList, PresenceChanges } from '../core/backend-presence.js';
import { highCapacityMembers } from '../core/duties.js';
import type { BackendRecord } from '../core/service-configuration.js';
import { eraOf, revisionOf, type StorePosition } from '../core/store-position.js';
import { RecentChanges } from '../core/recent-changes.js';
import type { DirectoryNews } from '../proto/gen/internal_pb.js';
import { decodeNews, encodeNews } from './gateway-codec.js';
import { KnownReaders } from './known-readers.js';
import type { PeerGroup } from './peer-group.js';
import type { DirectoryAttention, PlatformDirectory } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Daemons besides the owners that follow the platform closely. */
const CLOSE_READERS = 2;
/** Daemons, by rank, of which the rest stand in for readers that the platform does not answer. */
const STANDBY_READERS = 6;
/**
 * A reading older than this is not taken for what the platform holds now: a watch is asked again
 * after 0.8 s, and its answer may be slow.
 */
const CURRENT_READING_MS = 1_800;
/** Daemons that follow the platform closely say so this often, also without news: twice within the silence. */
const NEWS_PERIOD_MS = 700;

/** Options of {@link DirectoryDuty}. */
export interface DirectoryDutyOptions {
  readonly directory: PlatformDirectory;
  readonly backends: BackendDirectory;
  readonly peers: PeerGroup;
  readonly logger: Logger;
  /** The newest configuration that this daemon has in force; 0 for none. */
  readonly version: () => number;
  readonly ownsService: () => boolean;
  /** Requests that this daemon has in flight at a backend. */
  readonly inFlightAt: (backend: string) => number;
  /** The list says that a backend leaves: the others are to know, whatever becomes of the list. */
  readonly onLeaving: (backend: BackendRecord) => void;
  /** Backends have started or ended, by the list or by news. */
  readonly onChange: () => void;
}

/** How this daemon has learned of changes. */
type ChangeSource =
  | 'list'
  /** A reading that may be late: no reader's news had told of it. */
  | 'late_list'
  /** An entry that was missing after an outage has not come back. */
  | 'hold_over'
  | 'reader';

/** This daemon's part in following the directory. */
export class DirectoryDuty {
  private attention: DirectoryAttention = 'alone';
  /** It owns a service or is among the first in rank: it reads closely and publishes what it reads. */
  private isDesignatedReader = false;
  private readonly readers = new KnownReaders();
  private readonly recent = new RecentChanges();
  /** Since when this daemon holds other backends than a reader lists; undefined while none is known to. */
  private mustReadSince: number | undefined;
  private lastPublished = -Infinity;
  /** Of the last list. */
  private listedAt: StorePosition = 0;
  /** What the others were told last. */
  private toldPlatformAway = false;

  constructor(private readonly options: DirectoryDutyOptions) {}

  /** Looks at the clock; call it a few times a second. */
  tick(): void {
    const knownAt = leaseNow();
    this.readers.forgetSilent(knownAt);
    this.noticeOwnReading(knownAt);
    this.noticeDifference(knownAt);
    this.chooseAttention(knownAt);
    const now = steadyNow();
    const ended = this.options.backends.expireMissing(now);
    if (ended.length > 0) this.changed({ ended, started: [] }, 'hold_over');
    const isDue = now - this.lastPublished >= NEWS_PERIOD_MS;
    if (isDue || this.isPlatformAway() !== this.toldPlatformAway) this.publish();
  }

  /**
   * Whether what this daemon holds of the directory may be taken for what the platform holds now: by its
   * own reading or a reader's, and no reader has a newer configuration.
   */
  isInformed(): boolean {
    const isAnswered =
      this.attention === 'relaxed' ? this.hearsAnsweredReader() : !this.isPlatformAway();
    return isAnswered && this.readers.newestVersion() <= this.options.version();
  }

  /**
   * Milliseconds since the platform answered this daemon, without delay, or a reader that told of it; infinite
   * if neither is known.
   */
  knowledgeAgeMs(): number {
    const heardAgeMs = leaseNow() - this.readers.answeredHeardAt();
    return Math.min(this.options.directory.readingAgeMs(), heardAgeMs);
  }

  /** Whether another daemon is heard that the platform answers. */
  hearsAnsweredReader(): boolean {
    return this.readers.hearsAnswered(leaseNow());
  }

  /** The platform's list has changed. */
  takeList(list: BackendList): void {
    this.listedAt = list.revision;
    const changes = this.options.backends.setBackends(list, steadyNow());
    if (this.isDesignatedReader) this.tellLeaving(changes);
    this.changed(changes, this.attention === 'relaxed' ? 'late_list' : 'list');
  }

  private tellLeaving({ ended }: PresenceChanges): void {
    for (const { id } of ended) {
      const backend = this.options.backends.get(id);
      if (backend?.leaving === true) this.options.onLeaving(backend);
    }
  }

  /** A newer configuration is in force here. */
  configurationChanged(): void {
    this.publish();
  }

  /** Another daemon reads the directory closely. */
  hear(from: string, message: DirectoryNews): void {
    const { backends, ownsService, onChange } = this.options;
    const now = steadyNow();
    const news = decodeNews(message, eraOf(this.listedAt));
    const { platformAway, configurationVersion: version, servingDigest } = news;
    const ended = news.ended.filter((end) => backends.markEnded(end));
    // An owner plans with whole records, which its own readings bring as early.
    const started = ownsService()
      ? []
      : news.started.filter((record) => backends.addAnnounced(record, now));
    const said = { platformAway, version, servingDigest };
    this.readers.hear(from, said, backends.servingDigest(), leaseNow());
    if (ended.length + started.length === 0) return;
    // Told on by those that read closely: the one who was first may not reach everybody.
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
    this.toldPlatformAway = platformAway;
    const news = {
      ...this.recent.all(now),
      configurationVersion: this.options.version(),
      platformAway,
      servingDigest: this.options.backends.servingDigest(),
    };
    this.options.peers.broadcast(encodeNews(news));
  }

  private isPlatformAway(): boolean {
    return this.options.directory.readingAgeMs() > CURRENT_READING_MS;
  }

  /** Whoever holds other backends than a reader lists reads for itself, once, before it relies on readers again. */
  private noticeDifference(now: number): void {
    const { backends, logger } = this.options;
    if (this.attention !== 'relaxed' || this.mustReadSince !== undefined) return;
    const reader = this.readers.differingReader(backends.servingDigest(), now);
    if (reader === undefined) return;
    this.mustReadSince = now;
    logger.info('directory_difference', { reader, backends: backends.all().length });
  }

  private noticeOwnReading(now: number): void {
    if (this.mustReadSince === undefined) return;
    const readAt = now - this.options.directory.readingAgeMs();
    if (readAt <= this.mustReadSince) return;
    this.mustReadSince = undefined;
    this.readers.settleDifferences(now);
  }

  private chooseAttention(now: number): void {
    const attention = this.wantedAttention(now);
    if (attention === this.attention) return;
    this.attention = attention;
    this.options.logger.info('directory_attention', { attention, ...this.readers.counts(now) });
    this.options.directory.setAttention(attention);
  }

  private wantedAttention(now: number): DirectoryAttention {
    const ownsService = this.options.ownsService();
    const first = this.firstInRank();
    const position = first.indexOf(this.options.peers.address);
    const isReader = position >= 0 && position < CLOSE_READERS;
    const standsIn = position >= CLOSE_READERS && !this.hearsAnsweredDesignated(first, now);
    // Who is only cut off from the designated readers reads closely too, but publishes nothing.
    this.isDesignatedReader = ownsService || isReader || standsIn;
    if (ownsService) return 'immediate';
    if (this.isDesignatedReader) return 'close';
    const isAlone = this.readers.counts(now).readers === 0 || this.mustReadSince !== undefined;
    return isAlone ? 'alone' : 'relaxed';
  }

  /** The readers and those that stand in for them, best first. */
  private firstInRank(): string[] {
    const candidates = highCapacityMembers(this.options.peers.live()).map(
      (member) => member.address,
    );
    return rankCandidates('directory', candidates).slice(0, STANDBY_READERS);
  }

  /** Whether the platform answers a reader; those that stand in count not, or they would relieve one another. */
  private hearsAnsweredDesignated(first: readonly string[], now: number): boolean {
    return this.readers.hearsAnswered(now, new Set(first.slice(CLOSE_READERS)));
  }

  /**
   * Lines at designated readers, where requests are touched, and where news were missed: hundreds hear
   * the same.
   */
  private log({ ended, started }: PresenceChanges, source: ChangeSource, from?: string): void {
    const { inFlightAt, logger } = this.options;
    const { isDesignatedReader } = this;
    const isTold = isDesignatedReader || source === 'late_list';
    const told = isDesignatedReader ? this.options.peers.reachableOthers().length : undefined;
    const touched = ended.filter(({ id }) => isTold || inFlightAt(id) > 0);
    for (const { id, revision: position } of touched) {
      const [revision, era] = [revisionOf(position), eraOf(position)];
      const inFlight = inFlightAt(id);
      logger.info('backend_ended', { backend: id, revision, era, inFlight, source, from, told });
    }
    if (!isDesignatedReader) return;
    for (const { id, revision: position, address } of started) {
      const [revision, era] = [revisionOf(position), eraOf(position)];
      logger.info('backend_started', { backend: id, revision, era, address });
    }
  }
}
