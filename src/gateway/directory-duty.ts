/**
 * How closely this daemon follows the platform's directory. Owners and a few others
 * read it without delay and tell the rest at once of backends that start or end, and
 * that they live; the rest reads late, and closely when it hears of nobody.
 */
import type { Logger } from '../common/logger.js';
import { rankCandidates } from '../common/rendezvous.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { BackendList, EndedBackend } from '../core/backend-presence.js';
import { ablestOf } from '../core/duties.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { DirectoryNews } from '../proto/gen/internal_pb.js';
import { decodeNews, encodeNews } from './gateway-codec.js';
import type { PeerGroup } from './peer-group.js';
import type { DirectoryAttention, PlatformDirectory } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Daemons besides the owners that follow the platform closely. */
const CLOSE_READERS = 2;
/** Daemons that follow the platform closely say so this often, also without news: twice within the silence. */
const NEWS_PERIOD_MS = 700;
/** Without news for so long a daemon follows the platform closely itself: it may be cut off from those that do. */
const NEWS_SILENCE_MS = 1_500;

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
  /** Backends have started or ended, by the list or by news. */
  readonly onChange: () => void;
}

/** This daemon's part in following the directory. */
export class DirectoryDuty {
  private attention: DirectoryAttention = 'alone';
  /** It owns a service or is among the first in rank: it reads closely and publishes what it reads. */
  private isDesignatedReader = false;
  /** Steady times at which another daemon was last heard to read the directory closely, and at which this one last published. */
  private lastHeard = -Infinity;
  private lastPublished = -Infinity;

  constructor(private readonly options: DirectoryDutyOptions) {}

  /** Looks at the clock; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    this.chooseAttention(now);
    const ended = this.options.backends.expireMissing(now);
    if (ended.length > 0) this.changed(ended, []);
    // An owner's word on its models is a sign of life as well, and more frequent.
    const isDue = now - this.lastPublished >= NEWS_PERIOD_MS;
    if (isDue && !this.options.ownsService()) this.publish([], []);
  }

  /** The platform's list has changed. */
  takeList(list: BackendList): void {
    const { ended, started } = this.options.backends.setBackends(list, steadyNow());
    this.changed(ended, started);
  }

  /** A newer configuration is in force here. */
  configurationChanged(): void {
    this.publish([], []);
  }

  /** An owner has told of its models: it reads the directory closely too. */
  hearOwner(): void {
    this.lastHeard = steadyNow();
  }

  /** Another daemon reads the directory closely. */
  hear(message: DirectoryNews): void {
    const { backends, ownsService, onChange } = this.options;
    const now = steadyNow();
    this.lastHeard = now;
    const news = decodeNews(message);
    const ended = news.ended.filter((end) => backends.noteEnded(end));
    // An owner plans with whole records, which its own readings bring as early.
    const started = ownsService()
      ? []
      : news.started.filter((record) => backends.noteStarted(record, now));
    if (ended.length + started.length === 0) return;
    this.log(ended, started);
    onChange();
  }

  private changed(ended: readonly EndedBackend[], started: readonly BackendRecord[]): void {
    if (ended.length + started.length > 0) {
      this.log(ended, started);
      this.publish(ended, started);
    }
    this.options.onChange();
  }

  private publish(ended: readonly EndedBackend[], started: readonly BackendRecord[]): void {
    if (!this.isDesignatedReader) return;
    this.lastPublished = steadyNow();
    const news = { configurationVersion: this.options.version(), ended, started };
    this.options.peers.broadcast(encodeNews(news));
  }

  private chooseAttention(now: number): void {
    const attention = this.wantedAttention(now);
    if (attention === this.attention) return;
    this.attention = attention;
    const sinceNewsMs = Number.isFinite(this.lastHeard)
      ? Math.round(now - this.lastHeard)
      : undefined;
    this.options.logger.info('directory_attention', { attention, sinceNewsMs });
    this.options.directory.setAttention(attention);
  }

  private wantedAttention(now: number): DirectoryAttention {
    const ownsService = this.options.ownsService();
    // Who is only cut off from the designated readers reads closely too, but publishes nothing.
    this.isDesignatedReader = ownsService || this.isFirstInRank();
    if (ownsService) return 'immediate';
    const isAlone = now - this.lastHeard > NEWS_SILENCE_MS;
    if (this.isDesignatedReader) return 'close';
    return isAlone ? 'alone' : 'relaxed';
  }

  private isFirstInRank(): boolean {
    const { peers } = this.options;
    const candidates = ablestOf(peers.live()).map((member) => member.address);
    const first = rankCandidates('directory', candidates).slice(0, CLOSE_READERS);
    return first.includes(peers.address);
  }

  /** Lines at designated readers, and where requests are touched: hundreds hear the same. */
  private log(ended: readonly EndedBackend[], started: readonly BackendRecord[]): void {
    const { inFlightAt, logger } = this.options;
    const { isDesignatedReader } = this;
    const touched = ended.filter(({ id }) => isDesignatedReader || inFlightAt(id) > 0);
    for (const { id, revision } of touched) {
      logger.info('backend_ended', { backend: id, revision, inFlight: inFlightAt(id) });
    }
    if (!isDesignatedReader) return;
    for (const { id, revision, address } of started) {
      logger.info('backend_started', { backend: id, revision, address });
    }
  }
}
