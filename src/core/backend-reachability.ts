/**
 * Which backends this daemon reaches over connections of its own, by their addresses ("ip:port"), concluded from connections that fail to open and from
 * backends that stay silent. Silence alone proves nothing, because a backend may be busy; it only asks for a probe, which is
 * an attempt to open a new connection. If one fails, others are probed; if these fail too and none is received from, the daemon counts as
 * partitioned from all of them. Pure; times are milliseconds of a monotonic clock.
 */

/** Number of backends, or all if fewer are listed, whose connections must fail before the daemon counts as partitioned. */
const PARTITION_FAILURES = 5;
/** Time without a byte from a backend that has requests in flight, after which it is probed. */
const SILENCE_MS = 400;
/** Time between two probes of a backend that accepts connections but stays silent; doubles up to the maximum. */
const FIRST_SILENCE_PROBE_GAP_MS = 1_000;
const MAX_SILENCE_PROBE_GAP_MS = 8_000;
/** Time between two probes of a backend whose last connection failed. */
const RECOVERY_PROBE_GAP_MS = 500;
/** Time between two probes while the daemon is partitioned. */
const PARTITION_PROBE_GAP_MS = 250;
/** Time after the failure of one backend in which others are probed. */
const NEIGHBOR_PROBE_WINDOW_MS = 1_500;
/** Time between two rounds of probes of other backends. */
const NEIGHBOR_ROUND_GAP_MS = 2_000;
/** Probes of unreachable backends that one call of {@link BackendReachability.probesDue} returns. */
const MAX_RECOVERY_PROBES = 4;

interface Contact {
  /** Time of the last byte, or of the last connection that opened. */
  receivedAt: number;
  /** Time of the first failed connection since one opened; undefined if the last one opened. */
  failedSince: number | undefined;
  /** Time of the last failed connection. */
  failedAt: number;
  /** Exchanges in flight. */
  inFlight: number;
  /** Time since which exchanges are in flight and nothing was received; undefined without one. */
  silentSince: number | undefined;
  probedAt: number;
  silenceProbeGapMs: number;
}

/** A change of the conclusions. */
export type ReachabilityChange =
  | { readonly type: 'backend_unreachable'; readonly backend: string; readonly silentMs: number }
  | { readonly type: 'backend_reachable'; readonly backend: string; readonly afterMs: number }
  | { readonly type: 'partitioned'; readonly unreachable: number; readonly silentMs: number }
  | { readonly type: 'partition_ended'; readonly backend: string; readonly afterMs: number };

/** The connections of one daemon to its backends, as far as they show whether it reaches them. */
export class BackendReachability {
  private readonly contacts = new Map<string, Contact>();
  private partitionedAt: number | undefined;
  private lastReceivedAt = -Infinity;
  private neighborRoundAt = -Infinity;
  private neighborProbes = 0;
  private partitionProbeAt = -Infinity;
  private partitionProbes = 0;
  private changes: ReachabilityChange[] = [];

  /** Whether the daemon reaches none of its backends. */
  get isPartitioned(): boolean {
    return this.partitionedAt !== undefined;
  }

  /** Number of backends that cannot be reached. */
  get unreachableCount(): number {
    return this.isPartitioned ? this.contacts.size : this.failed().length;
  }

  /** Whether this daemon cannot reach a backend directly. */
  isUnreachable(backend: string): boolean {
    return this.isPartitioned || this.contacts.get(backend)?.failedSince !== undefined;
  }

  /** Time for which a backend with exchanges in flight has sent nothing, in milliseconds; 0 for any other backend. */
  silentMs(backend: string, now: number): number {
    const silentSince = this.contacts.get(backend)?.silentSince;
    return silentSince === undefined ? 0 : now - silentSince;
  }

  /** Whether any backend cannot be reached. */
  get hasUnreachable(): boolean {
    return this.isPartitioned || this.failed().length > 0;
  }

  /** Whether a byte was received from any backend, or a connection opened, shortly before. */
  hasRecentContact(now: number): boolean {
    return now - this.lastReceivedAt <= SILENCE_MS;
  }

  /** Returns the changes since the last call. */
  takeChanges(): ReachabilityChange[] {
    const { changes } = this;
    this.changes = [];
    return changes;
  }

  /** Sets the listed backends; those that are no longer listed are forgotten. */
  setListed(backends: readonly string[]): void {
    const listed = new Set(backends);
    for (const backend of this.contacts.keys()) {
      if (!listed.has(backend)) this.contacts.delete(backend);
    }
    for (const backend of listed) this.contactOf(backend);
  }

  /** Forgets what is known about a backend, because its process has restarted. */
  forget(backend: string): void {
    if (!this.contacts.delete(backend)) return;
    this.contactOf(backend);
  }

  /** Records that a request was sent to a backend over an open connection. */
  recordSent(backend: string, now: number): void {
    const contact = this.contactOf(backend);
    contact.inFlight += 1;
    contact.silentSince ??= now;
  }

  /** Records that an exchange counted by {@link recordSent} has ended. */
  recordEnded(backend: string): void {
    const contact = this.contacts.get(backend);
    if (contact === undefined) return;
    contact.inFlight = Math.max(0, contact.inFlight - 1);
    if (contact.inFlight === 0) contact.silentSince = undefined;
  }

  /** Records that a byte was received from a backend. Does not show that new connections work. */
  recordReceived(backend: string, now: number): void {
    const contact = this.contactOf(backend);
    contact.receivedAt = now;
    contact.silentSince = contact.inFlight > 0 ? now : undefined;
    contact.silenceProbeGapMs = FIRST_SILENCE_PROBE_GAP_MS;
    this.lastReceivedAt = now;
    this.endPartition(backend, now);
  }

  /** Records that a new connection to a backend opened. */
  recordConnected(backend: string, now: number): void {
    const contact = this.contactOf(backend);
    const { failedSince } = contact;
    contact.receivedAt = now;
    contact.failedSince = undefined;
    this.lastReceivedAt = now;
    if (failedSince !== undefined) {
      this.changes.push({ type: 'backend_reachable', backend, afterMs: now - failedSince });
    }
    this.endPartition(backend, now);
  }

  /** Records that a new connection to a backend failed: it timed out, or was refused or reset. */
  recordConnectionFailure(backend: string, now: number): void {
    const contact = this.contactOf(backend);
    contact.probedAt = now;
    contact.failedAt = now;
    if (contact.failedSince === undefined) {
      contact.failedSince = now;
      const silentMs = now - contact.receivedAt;
      this.changes.push({ type: 'backend_unreachable', backend, silentMs });
    }
    this.detectPartition(now);
  }

  /**
   * Returns whether to probe a backend that has not answered something other than a request, and counts it as probed. False shortly
   * after a probe.
   */
  suspect(backend: string, now: number): boolean {
    const contact = this.contactOf(backend);
    if (now - contact.probedAt < FIRST_SILENCE_PROBE_GAP_MS) return false;
    contact.probedAt = now;
    return true;
  }

  /** Returns the backends to probe now, and counts them as probed; call it several times a second. */
  probesDue(now: number): string[] {
    if (this.isPartitioned) return this.partitionProbesDue(now);
    const due = [
      ...this.silentBackends(now),
      ...this.recoveriesDue(now),
      ...this.neighborsDue(now),
    ];
    for (const backend of due) this.contactOf(backend).probedAt = now;
    return due;
  }

  private partitionProbesDue(now: number): string[] {
    if (now - this.partitionProbeAt < PARTITION_PROBE_GAP_MS) return [];
    this.partitionProbeAt = now;
    this.partitionProbes += 1;
    const backends = [...this.contacts.keys()];
    const next = backends[this.partitionProbes % backends.length];
    return next === undefined ? [] : [next];
  }

  private silentBackends(now: number): string[] {
    const due: string[] = [];
    for (const [backend, contact] of this.contacts) {
      if (contact.failedSince !== undefined || contact.silentSince === undefined) continue;
      if (now - contact.silentSince < SILENCE_MS) continue;
      if (now - contact.probedAt < contact.silenceProbeGapMs) continue;
      if (contact.probedAt >= contact.silentSince) {
        contact.silenceProbeGapMs = Math.min(
          MAX_SILENCE_PROBE_GAP_MS,
          contact.silenceProbeGapMs * 2,
        );
      }
      due.push(backend);
    }
    return due;
  }

  private recoveriesDue(now: number): string[] {
    return this.failed()
      .filter(([, { probedAt }]) => now - probedAt >= RECOVERY_PROBE_GAP_MS)
      .sort(([, a], [, b]) => a.probedAt - b.probedAt)
      .slice(0, MAX_RECOVERY_PROBES)
      .map(([backend]) => backend);
  }

  /** After the first failure, others are probed at once to tell a failed backend from a partition. */
  private neighborsDue(now: number): string[] {
    const failed = this.failed();
    const newestFailure = Math.max(...failed.map(([, { failedSince = -Infinity }]) => failedSince));
    if (now - newestFailure > NEIGHBOR_PROBE_WINDOW_MS) return [];
    if (failed.length >= PARTITION_FAILURES) return [];
    if (now - this.neighborRoundAt < NEIGHBOR_ROUND_GAP_MS) return [];
    this.neighborRoundAt = now;
    this.neighborProbes += 1;
    const quiet = [...this.contacts].filter(([, { failedSince, receivedAt }]) => {
      return failedSince === undefined && now - receivedAt >= SILENCE_MS;
    });
    const offset = quiet.length === 0 ? 0 : this.neighborProbes % quiet.length;
    const ordered = [...quiet.slice(offset), ...quiet.slice(0, offset)];
    return ordered.slice(0, PARTITION_FAILURES).map(([backend]) => backend);
  }

  private detectPartition(now: number): void {
    if (this.isPartitioned) return;
    // Only failures after the last received byte count: an earlier one may be a backend that ended.
    const failed = this.failed().filter(([, { failedAt }]) => failedAt > this.lastReceivedAt);
    if (failed.length < Math.min(PARTITION_FAILURES, this.contacts.size)) return;
    this.partitionedAt = now;
    const silentMs = now - this.lastReceivedAt;
    this.changes.push({ type: 'partitioned', unreachable: failed.length, silentMs });
  }

  /** All failures of a partition have one cause, so they end together; backends that still fail are found again. */
  private endPartition(backend: string, now: number): void {
    if (this.partitionedAt === undefined) return;
    const afterMs = now - this.partitionedAt;
    this.partitionedAt = undefined;
    for (const contact of this.contacts.values()) contact.failedSince = undefined;
    this.changes.push({ type: 'partition_ended', backend, afterMs });
  }

  private failed(): [string, Contact][] {
    return [...this.contacts].filter(([, { failedSince }]) => failedSince !== undefined);
  }

  private contactOf(backend: string): Contact {
    const known = this.contacts.get(backend);
    if (known !== undefined) return known;
    const created: Contact = {
      receivedAt: -Infinity,
      failedSince: undefined,
      failedAt: -Infinity,
      inFlight: 0,
      silentSince: undefined,
      probedAt: -Infinity,
      silenceProbeGapMs: FIRST_SILENCE_PROBE_GAP_MS,
    };
    this.contacts.set(backend, created);
    return created;
  }
}
