/**
 * Which requests crash the backends that run them, as this daemon sees it and hears it from the others, so that
 * one that has crashed several is sent to no other.
 */
import net from 'node:net';
import type { Logger } from '../common/logger.js';
import { splitAddress } from '../common/http-client.js';
import { isDifferentStart, startKey } from '../core/backend-starts.js';
import { CrashRecords, type CrashRecord, type CrashVerdict } from '../core/crash-records.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { decodeCrashes, encodeCrashes, encodeCrashQuestion } from './crash-codec.js';
import { DigestGossip, type GossipLinks } from './digest-gossip.js';
import type { CrashNews } from '../proto/gen/internal_pb.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { steadyNow } from './steady-clock.js';

/** A backend that has not taken a connection by then may be cut off: nothing says that it has ended. */
const PROBE_TIMEOUT_MS = 350;
/** Requests that break off together ask once. */
const PROBE_VALID_MS = 200;

/** Options of {@link CrashWatch}. */
export interface CrashWatchOptions extends GossipLinks {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** A backend as it is listed now. */
  readonly listed: (backend: string) => BackendRecord | undefined;
  /** Requests that wait, or are under way, look again whether they may be sent. */
  readonly onCondemned: () => void;
}

/** A request that takes its turn with others. */
export interface SuspectRequest {
  /** Whether it has begun to answer. */
  readonly hasBegun: boolean;
}

interface Probe {
  readonly at: number;
  readonly hasEnded: Promise<boolean>;
}

/** One daemon's knowledge of such requests. */
export class CrashWatch {
  private readonly records = new CrashRecords();
  /** `spec/crashes.pml` */
  private readonly gossip: DigestGossip<CrashRecord>;
  /** By "ip:port". */
  private readonly probes = new Map<string, Probe>();
  /** The suspect that has its turn, by backend. */
  private readonly running = new Map<string, SuspectRequest>();
  private condemned = new Set<string>();

  constructor(private readonly options: CrashWatchOptions) {
    this.gossip = new DigestGossip({
      ...options,
      digest: () => this.records.stateDigest(),
      all: (now) => this.records.all(now),
      encode: encodeCrashes,
      encodeQuestion: encodeCrashQuestion,
    });
  }

  /** Whether no request needs a look. */
  get isIdle(): boolean {
    return this.records.isEmpty;
  }

  /** Looks at the clock; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    this.records.deleteExpired(now);
    for (const [address, { at }] of this.probes) {
      if (now - at >= PROBE_VALID_MS) this.probes.delete(address);
    }
    this.gossip.tick();
    this.noteCondemned();
  }

  verdict(digest: string): CrashVerdict {
    return this.records.verdict(digest);
  }

  /** Crashes that are held against a request. */
  crashesOf(digest: string): number {
    return this.records.attributedCrashes(digest);
  }

  /**
   * A backend has broken a request off. Ends when it is known whether the backend's process has ended; only that counts, for
   * connections break off for other reasons too.
   */
  async brokeOff(
    backend: BackendRecord,
    digest: string,
    request: string | undefined,
  ): Promise<void> {
    const start = startKey(backend);
    const isKnown =
      this.records.hasCrashed(start) || isDifferentStart(backend, this.options.listed(backend.id));
    const hasEnded = isKnown || (await this.hasEnded(backend.address));
    if (!hasEnded) return;
    const record = this.records.recordCrash(digest, start, steadyNow());
    if (record === undefined) return;
    const crashes = this.records.attributedCrashes(digest);
    this.options.logger.warn('crash_met', { request, digest, backend: backend.id, crashes });
    this.options.metrics.crashesMet.inc();
    this.gossip.tell(record);
    this.noteCondemned();
  }

  /** A backend has answered the request in full. */
  answered(digest: string): void {
    this.excuse(digest, 'crash_excused');
  }

  /** Digests of the requests that are refused, with the starts of backends that have crashed under them. */
  refusedRequests(): CrashRecord[] {
    const now = steadyNow();
    return this.records.all(now).filter(({ digest }) => this.condemned.has(digest));
  }

  /** An operator has the request sent again, at all daemons; false if nothing is held against it. */
  lift(digest: string): boolean {
    return this.excuse(digest, 'crash_lifted');
  }

  /** Holds nothing against a request any more, here and at the others; false if nothing was. */
  private excuse(digest: string, event: 'crash_excused' | 'crash_lifted'): boolean {
    const record = this.records.recordAnswer(digest, steadyNow());
    if (record === undefined) return false;
    this.options.logger.info(event, { digest, starts: record.excused.length });
    this.gossip.tell(record);
    this.noteCondemned();
    return true;
  }

  /** A request that is refused has come. */
  repeated(digest: string): void {
    this.records.recordRepeat(digest, steadyNow());
  }

  /** Whether no other suspect runs at a backend that has not begun to answer. */
  isPlaceFree(backend: string, suspect: SuspectRequest): boolean {
    const holder = this.running.get(backend);
    return holder === undefined || holder === suspect || holder.hasBegun;
  }

  /** Takes the one place for suspects at a backend; false if another suspect has it. */
  takePlace(backend: string, suspect: SuspectRequest): boolean {
    if (!this.isPlaceFree(backend, suspect)) return false;
    this.running.set(backend, suspect);
    return true;
  }

  /** The suspect runs no more. */
  leavePlace(suspect: SuspectRequest): void {
    for (const [backend, holder] of this.running) {
      if (holder === suspect) this.running.delete(backend);
    }
  }

  /** Takes a message of another daemon; false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case !== 'crashNews') return false;
    const { knownDigest } = body.value;
    if (knownDigest === undefined) this.hear(from, body.value);
    else this.gossip.answer(from, knownDigest);
    return true;
  }

  private hear(from: string, message: CrashNews): void {
    const news = this.records.mergeAll(decodeCrashes(message), steadyNow());
    if (news.length === 0) return;
    this.options.logger.info('crash_news', { from, requests: news.length });
    this.noteCondemned();
  }

  private noteCondemned(): void {
    const { logger, metrics, onCondemned } = this.options;
    const condemned = new Set(this.records.condemnedDigests());
    const added = [...condemned].filter((digest) => !this.condemned.has(digest));
    const lifted = [...this.condemned].filter((digest) => !condemned.has(digest));
    this.condemned = condemned;
    metrics.condemnedRequests.set(condemned.size);
    for (const digest of added) {
      logger.warn('request_condemned', { digest, crashes: this.records.attributedCrashes(digest) });
    }
    for (const digest of lifted) logger.info('request_acquitted', { digest });
    if (added.length + lifted.length > 0) onCondemned();
  }

  private hasEnded(address: string): Promise<boolean> {
    const now = steadyNow();
    const known = this.probes.get(address);
    if (known !== undefined && now - known.at < PROBE_VALID_MS) return known.hasEnded;
    const hasEnded = isRefused(address);
    this.probes.set(address, { at: now, hasEnded });
    return hasEnded;
  }
}

/** Whether nobody listens at an address any more. */
function isRefused(address: string): Promise<boolean> {
  const [host, port] = splitAddress(address);
  return new Promise((resolve) => {
    const socket = net.connect({ host, port, timeout: PROBE_TIMEOUT_MS });
    const end = (hasEnded: boolean): void => {
      socket.destroy();
      resolve(hasEnded);
    };
    socket.once('connect', () => end(false));
    socket.once('timeout', () => end(false));
    socket.once('error', (fault: NodeJS.ErrnoException) => end(fault.code === 'ECONNREFUSED'));
  });
}
