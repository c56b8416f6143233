/**
 * Tracks which requests crash the backends that run them, from this daemon's observations and from records of the
 * other daemons. A request that has crashed several backends is refused.
 */
import net from 'node:net';
import type { Logger } from '../common/logger.js';
import { splitAddress } from '../common/http-client.js';
import { shareCalls } from '../common/shared-call.js';
import { isDifferentStart, startKey } from '../core/backend-starts.js';
import { CrashRecords, type CrashRecord, type CrashVerdict } from '../core/crash-records.js';
import { SoundParts } from '../core/sound-parts.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { decodeCrashes, encodeCrashes, encodeCrashDigest } from './crash-codec.js';
import { DigestGossip, type GossipLinks } from './digest-gossip.js';
import type { CrashNews } from '../proto/gen/internal_pb.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { steadyNow } from './steady-clock.js';

/** Timeout for a connection to a backend. A timeout does not show that the process has ended, since the backend may be unreachable. */
const PROBE_TIMEOUT_MS = 350;
/** Time after its last use for which the probe of an address is kept. */
const PROBE_RETENTION_MS = 1_000;

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions extends GossipLinks {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Returns the current directory entry of a backend. */
  readonly listed: (backend: string) => BackendRecord | undefined;
  /** Resolves with whether this daemon reaches a backend other than the one at an address; true if there is none. */
  readonly reachesOthers: (address: string) => Promise<boolean>;
  /** Called when the set of refused requests has changed, so that waiting and running requests check again whether they may be sent. */
  readonly onRefusedChange: () => void;
}

/** What may have crashed a backend: a request, or a part of its prompt. */
export type CrashCause = Pick<CrashRecord, 'digest' | 'depth'>;

/** A request under suspicion of crashing backends. No other suspect runs at its backend until the answer has begun. */
export interface SuspectRequest {
  /** Whether its answer has begun. */
  readonly hasBegun: boolean;
}

interface Probe {
  usedAt: number;
  /** Requests that fail together share a probe, but none that began before they failed. */
  readonly hasEnded: () => Promise<boolean>;
}

/** The crash records of one daemon. */
export class CrashTracker {
  private readonly records = new CrashRecords();
  private readonly soundParts = new SoundParts();
  /** Exchanges records with the other daemons; modelled in `spec/crashes.pml`. */
  private readonly gossip: DigestGossip<CrashRecord>;
  /** Recent probes by backend address, "ip:port". */
  private readonly probes = new Map<string, Probe>();
  /** The suspect that has reserved a backend, by backend id. */
  private readonly running = new Map<string, SuspectRequest>();
  private condemned = new Set<string>();

  constructor(private readonly options: CrashTrackerOptions) {
    this.gossip = new DigestGossip({
      ...options,
      digest: () => this.records.stateDigest(),
      allEntries: (now) => this.records.all(now),
      encode: encodeCrashes,
      encodeRequest: encodeCrashDigest,
    });
  }

  /** Whether there are no records, so that requests need no check. */
  get isIdle(): boolean {
    return this.records.isEmpty;
  }

  /** Handles a change of the set of live daemons. */
  groupChanged(): void {
    this.gossip.groupChanged();
  }

  /** Deletes expired records and runs other periodic work; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    this.records.deleteExpired(now);
    for (const [address, { usedAt }] of this.probes) {
      if (now - usedAt >= PROBE_RETENTION_MS) this.probes.delete(address);
    }
    this.gossip.tick();
    this.updateCondemned();
  }

  verdict(digest: string): CrashVerdict {
    return this.records.verdict(digest);
  }

  /** Returns the number of crashes attributed to a request. */
  attributedCrashes(digest: string): number {
    return this.records.attributedCrashes(digest);
  }

  /**
   * Records that a backend has aborted a request. Resolves when the daemon has determined whether the backend's process has
   * ended. Only an ended process counts as a crash, because connections break for other reasons too.
   */
  async recordAbort(
    backend: BackendRecord,
    causes: readonly CrashCause[],
    request: string | undefined,
    isKnownToHaveEnded = false,
  ): Promise<void> {
    const start = startKey(backend);
    const isKnown =
      isKnownToHaveEnded ||
      this.records.hasCrashed(start) ||
      isDifferentStart(backend, this.options.listed(backend.id));
    const hasEnded = isKnown || (await this.hasEnded(backend));
    if (!hasEnded) return;
    for (const cause of causes) this.recordCrash(cause, start, backend.id, request);
    this.updateCondemned();
  }

  private recordCrash(
    { digest, depth }: CrashCause,
    start: string,
    backend: string,
    request: string | undefined,
  ): void {
    const now = steadyNow();
    if (depth > 0 && this.soundParts.isSound(digest, now)) return;
    const record = this.records.recordCrash(digest, start, now, depth);
    if (record === undefined) return;
    const crashes = this.records.attributedCrashes(digest);
    this.options.logger.warn('crash_met', { request, digest, depth, backend, crashes });
    if (depth === 0) this.options.metrics.crashedRequests.inc();
    this.gossip.publish(record);
  }

  /** Records that a backend has answered a request completely, or one with the part. */
  recordAnswer({ digest, depth }: CrashCause): void {
    if (depth > 0) this.soundParts.recordAnswer(digest, steadyNow());
    if (!this.isIdle) this.clearCrashes(digest, 'crash_excused');
  }

  /** Returns the records of all refused requests. */
  refusedRequests(): CrashRecord[] {
    const now = steadyNow();
    return this.records.all(now).filter(({ digest }) => this.condemned.has(digest));
  }

  /** Allows a request again at all daemons, on an operator's order. Returns false if no crash is attributed to it. */
  lift(digest: string): boolean {
    return this.clearCrashes(digest, 'crash_lifted');
  }

  /** Clears the crashes attributed to a request at all daemons. Returns false if there were none. */
  private clearCrashes(digest: string, event: 'crash_excused' | 'crash_lifted'): boolean {
    const record = this.records.recordAnswer(digest, steadyNow());
    if (record === undefined) return false;
    this.options.logger.info(event, { digest, starts: record.excused.length });
    this.gossip.publish(record);
    this.updateCondemned();
    return true;
  }

  /** Records that a caller has repeated a refused request. */
  recordRepeat(digest: string): void {
    this.records.recordRepeat(digest, steadyNow());
  }

  /** Returns whether a suspect may run at a backend. It may not while another suspect runs there whose answer has not begun. */
  canReserve(backend: string, suspect: SuspectRequest): boolean {
    const holder = this.running.get(backend);
    return holder === undefined || holder === suspect || holder.hasBegun;
  }

  /** Reserves a backend for a suspect. Returns false if another suspect has reserved it. */
  reserve(backend: string, suspect: SuspectRequest): boolean {
    if (!this.canReserve(backend, suspect)) return false;
    this.running.set(backend, suspect);
    return true;
  }

  /** Releases all reservations of a suspect that no longer runs. */
  release(suspect: SuspectRequest): void {
    for (const [backend, holder] of this.running) {
      if (holder === suspect) this.running.delete(backend);
    }
  }

  /** Handles a message of another daemon. Returns false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case !== 'crashNews') return false;
    const { knownDigest } = body.value;
    if (knownDigest === undefined) this.mergeFrom(from, body.value);
    else this.gossip.reply(from, knownDigest);
    return true;
  }

  private mergeFrom(from: string, message: CrashNews): void {
    const now = steadyNow();
    const newRecords = this.records.mergeAll(decodeCrashes(message), now);
    if (newRecords.length === 0) return;
    // The sender may not have received the answers that clear a part.
    for (const { digest, depth } of newRecords) {
      if (depth > 0 && this.soundParts.isSound(digest, now))
        this.clearCrashes(digest, 'crash_excused');
    }
    this.options.logger.info('crash_news', { from, requests: newRecords.length });
    this.updateCondemned();
  }

  private updateCondemned(): void {
    const { logger, metrics, onRefusedChange: onCondemned } = this.options;
    const condemned = new Set(this.records.condemnedDigests());
    const added = [...condemned].filter((digest) => !this.condemned.has(digest));
    const lifted = [...this.condemned].filter((digest) => !condemned.has(digest));
    this.condemned = condemned;
    metrics.blockedRequests.set(condemned.size);
    for (const digest of added) {
      const crashes = this.records.attributedCrashes(digest);
      logger.warn('request_condemned', { digest, depth: this.records.depthOf(digest), crashes });
    }
    for (const digest of lifted) logger.info('request_acquitted', { digest });
    if (added.length + lifted.length > 0) onCondemned();
  }

  /** Resolves with whether the process at a backend's address has ended: it refuses connections, and other backends do not. */
  hasEnded({ address }: BackendRecord): Promise<boolean> {
    const known = this.probes.get(address);
    const probe = known ?? { usedAt: 0, hasEnded: shareCalls(() => this.probe(address)) };
    probe.usedAt = steadyNow();
    this.probes.set(address, probe);
    return probe.hasEnded();
  }

  private async probe(address: string): Promise<boolean> {
    if (!(await refusesConnection(address))) return false;
    if (await this.options.reachesOthers(address)) return true;
    this.options.logger.info('crash_not_proven', { address });
    return false;
  }
}

/** Returns whether a connection to an address is refused, so that no process listens there. */
function refusesConnection(address: string): Promise<boolean> {
  const [host, port] = splitAddress(address);
  return new Promise((resolve) => {
    const socket = net.connect({ host, port, timeout: PROBE_TIMEOUT_MS });
    const finish = (hasEnded: boolean): void => {
      socket.destroy();
      resolve(hasEnded);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
  });
}
