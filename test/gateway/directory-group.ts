/**
 * A group of daemons that follow the directory of one platform in simulated time. Each has its own directory
 * follower and list. Tests choose which daemons receive the messages of which others.
 */
import { vi } from 'vitest';
import { silentLogger, type Logger } from '../../src/common/logger.js';
import { BackendDirectory } from '../../src/core/backend-directory.js';
import type { MemberView } from '../../src/core/membership-messages.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { DirectoryFollower } from '../../src/gateway/directory-follower.js';
import type { PeerGroup } from '../../src/gateway/peer-group.js';
import type { DirectoryReadMode, PlatformDirectory } from '../../src/gateway/ports.js';

/** Tick period of all daemons. */
export const DIRECTORY_TICK_MS = 250;
/** Period of delayed reads, and age of the state that they return. */
const LATE_PERIOD_MS = 5_000;
const LATE_BY_MS = 3_000;

interface Snapshot {
  readonly at: number;
  readonly revision: number;
  readonly backends: readonly BackendRecord[];
}

type Delivery = (from: string, to: string) => boolean;

/** Returns the record of a backend that has just been listed. */
export function backendOf(id: string, revision: number): BackendRecord {
  return {
    id,
    revision,
    service: 'service',
    address: '10.1.0.1:80',
    zone: 'a',
    slots: 4,
    leaving: false,
    models: [],
    sequence: 0,
    inMemory: [],
    onDisk: [],
  };
}

/** One simulated daemon. */
export class GroupMember {
  attention: DirectoryReadMode = 'alone';
  /** Whether the platform responds to this daemon. */
  isServed = true;
  /** Whether the daemon's process runs. */
  isRunning = true;
  readonly backends = new BackendDirectory();
  readonly follower: DirectoryFollower;
  private lastReading = -Infinity;
  private lastLateReading = -Infinity;

  constructor(
    readonly address: string,
    private readonly group: DirectoryGroup,
    logger: Logger,
  ) {
    const directory: Partial<PlatformDirectory> = {
      setReadMode: (attention) => (this.attention = attention),
      lastReadAgeMs: () => (this.isServed ? performance.now() - this.lastReading : Infinity),
    };
    const peers = {
      address,
      live: () => group.liveFor(address),
      reachableOthers: () => group.liveFor(address).slice(1),
      broadcast: (body: PeerBody) => group.broadcast(address, body),
    };
    this.follower = new DirectoryFollower({
      directory: directory as PlatformDirectory,
      backends: this.backends,
      peers: peers as unknown as PeerGroup,
      logger,
      version: () => 1,
      ownsService: () => group.owner === address,
      onLeaving: () => {},
      inFlightAt: () => 0,
      onChange: () => {},
    });
  }

  /** Milliseconds since the daemon's last delayed read. */
  get lateReadingAgeMs(): number {
    return performance.now() - this.lastLateReading;
  }

  /** Whether the daemon would send a request to the backend. */
  serves(backend: string): boolean {
    return this.backends.servingBackends('service').some(({ id }) => id === backend);
  }

  /** Reads the directory according to the daemon's attention, then runs its timers. */
  tick(): void {
    if (!this.isRunning) return;
    this.read();
    this.follower.tick();
  }

  private read(): void {
    if (!this.isServed) return;
    const now = performance.now();
    if (this.attention !== 'relaxed') {
      this.lastReading = now;
      return this.take(this.group.snapshotAt(now), false);
    }
    if (this.lateReadingAgeMs < LATE_PERIOD_MS) return;
    this.lastLateReading = now;
    this.take(this.group.snapshotAt(now - LATE_BY_MS), true);
  }

  private take({ backends, revision }: Snapshot, isLate: boolean): void {
    this.follower.applyList({ backends, revision, mayMissBackends: isLate, isLate });
  }
}

/** All daemons, and the platform's list. Requires fake timers for `performance`. */
export class DirectoryGroup {
  readonly members = new Map<string, GroupMember>();
  /** The daemon that owns the services, if any. */
  owner: string | undefined;
  /** Whether a message from one daemon reaches another. */
  delivers: Delivery = () => true;
  /** Whether a daemon considers another one live. */
  considersLive: Delivery = () => true;
  private readonly snapshots: Snapshot[] = [{ at: -Infinity, revision: 0, backends: [] }];

  constructor(
    addresses: readonly string[],
    private readonly logger: Logger = silentLogger,
  ) {
    for (const address of addresses) this.restart(address);
  }

  /** Replaces the daemon's process by a new one. */
  restart(address: string): void {
    this.members.set(address, new GroupMember(address, this, this.logger));
  }

  member(address: string | undefined): GroupMember {
    const found = this.members.get(address ?? '');
    if (found === undefined) throw new Error(`no daemon has the address ${address}`);
    return found;
  }

  /** Sets the backends that the platform lists from now on. */
  list(backends: readonly BackendRecord[]): void {
    const revision = Math.max(this.revision + 1, ...backends.map((each) => each.revision));
    this.snapshots.push({ at: performance.now(), revision, backends });
  }

  get revision(): number {
    return this.snapshots.at(-1)?.revision ?? 0;
  }

  snapshotAt(time: number): Snapshot {
    const known = this.snapshots.filter(({ at }) => at <= time).at(-1);
    return known ?? { at: -Infinity, revision: 0, backends: [] };
  }

  liveFor(address: string): MemberView[] {
    const seen = [...this.members.keys()].filter(
      (other) => other === address || this.considersLive(address, other),
    );
    return seen.map((member) => {
      return { address: member, zone: '', site: '', incarnation: 1, state: 'alive', capacity: 1 };
    });
  }

  broadcast(from: string, body: PeerBody): void {
    if (body.case !== 'directoryNews') return;
    for (const { address } of this.liveFor(from)) {
      const to = this.member(address);
      const isReached = address !== from && to.isRunning && this.delivers(from, address);
      if (isReached) to.follower.applyUpdate(from, body.value);
    }
  }

  /** Runs until just after a delayed read of the daemon, so that the time until it reads a change itself is longest. */
  async runUntilLateReading(address: string): Promise<void> {
    do await this.run(DIRECTORY_TICK_MS);
    while (this.member(address).lateReadingAgeMs >= DIRECTORY_TICK_MS);
  }

  async run(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += DIRECTORY_TICK_MS) {
      await vi.advanceTimersByTimeAsync(DIRECTORY_TICK_MS);
      for (const member of this.members.values()) member.tick();
    }
  }
}
