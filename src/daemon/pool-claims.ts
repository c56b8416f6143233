/**
 * Manages the pools that this daemon owns: claims a pool by compare-and-swap if the
 * daemon ranks first for it and the pool has no live owner, and runs an owner process
 * for each claimed pool.
 */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import {
  preferredOwner,
  reachesHalfOfSite,
  type RoleCandidate,
  type RolePool,
} from '../core/roles.js';
import type { Membership } from '../core/membership.js';
import type { PoolRecord, RegisteredEngine } from '../core/records.js';
import type { EngineClient } from '../engines/engine-client.js';
import type { PlatformClient } from '../platform/platform-client.js';
import { updateObject } from './conditional-update.js';
import type { Directory } from './directory.js';
import { PoolOwnerProcess, isSameWrite } from './pool-owner-process.js';

/** Milliseconds before a failed claim of a pool is retried. */
const CLAIM_RETRY_MS = 500;

/** Dependencies of {@link PoolClaims}. */
export interface PoolClaimsOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly directory: Directory;
  /** The daemons in the platform's list. */
  readonly listedDaemons: () => readonly RoleCandidate[];
  /** Current revision of the configuration. */
  readonly configurationRevision: () => number;
  /** Starts an owner process for a pool record that names this daemon as owner. */
  readonly startOwner: (record: PoolRecord) => PoolOwnerProcess;
}

/** Claims and releases the pools of one daemon. */
export class PoolClaims {
  readonly owners = new Map<string, PoolOwnerProcess>();
  private readonly claiming = new Set<string>();
  private readonly retryAt = new Map<string, number>();
  private stopped = false;

  constructor(private readonly options: PoolClaimsOptions) {}

  /**
   * Claims all pools that this daemon should own. Called periodically and when the members have
   * changed.
   */
  evaluate(): void {
    if (this.stopped) return;
    for (const pool of this.knownPools()) {
      if (this.shouldClaim(pool)) void this.claim(pool);
    }
  }

  /** Removes the owner process that has lost its pool. */
  removeLostOwner(pool: string, epoch: number): void {
    if (this.owners.get(pool)?.epoch === epoch) this.owners.delete(pool);
  }

  /** Gives up all pools, so that other daemons can claim them at once. */
  async release(): Promise<void> {
    this.stopped = true;
    const owners = [...this.owners.values()];
    this.owners.clear();
    await Promise.all(owners.map((owner) => owner.release()));
  }

  /** Stops all owner processes without giving up their pools. */
  stop(): void {
    this.stopped = true;
    for (const owner of this.owners.values()) owner.stop();
    this.owners.clear();
  }

  /** The pools that have a record, and those of the engines in the platform's list. */
  private knownPools(): RolePool[] {
    const pools = new Map<string, RolePool>();
    for (const record of this.options.directory.pools()) pools.set(record.pool, record);
    for (const machine of this.options.directory.machines()) {
      if (machine.kind !== 'engine' || pools.has(machine.pool)) continue;
      pools.set(machine.pool, { pool: machine.pool, zone: machine.zone, site: machine.site });
    }
    return [...pools.values()];
  }

  private shouldClaim(pool: RolePool): boolean {
    const { self, membership, clock, directory } = this.options;
    if (this.claiming.has(pool.pool) || this.owners.has(pool.pool)) return false;
    if ((this.retryAt.get(pool.pool) ?? 0) > clock.now()) return false;
    const live = membership.live();
    if (preferredOwner(pool, live) !== self) return false;
    if (!reachesHalfOfSite(pool, live, this.options.listedDaemons())) return false;
    const owner = directory.pool(pool.pool)?.owner ?? '';
    return owner === '' || owner === self || !membership.isLive(owner);
  }

  private async claim(pool: RolePool): Promise<void> {
    this.claiming.add(pool.pool);
    const record = await this.writeClaim(pool);
    if (record !== undefined && !this.stopped) this.startWhenCurrent(record);
    else this.retryAt.set(pool.pool, this.options.clock.now() + CLAIM_RETRY_MS);
    this.claiming.delete(pool.pool);
  }

  private async writeClaim(pool: RolePool): Promise<PoolRecord | undefined> {
    const { self, platform, logger, membership } = this.options;
    const registered = this.options.directory.pool(pool.pool)?.engines ?? [];
    const found = await this.findEngines(pool.pool, registered);
    const claimed = await updateObject<PoolRecord>(platform, {
      kind: 'pool',
      name: pool.pool,
      change: (current) => {
        const owner = current?.owner ?? '';
        if (owner !== '' && owner !== self && membership.isLive(owner)) return undefined;
        return this.claimOf(pool, current, found);
      },
      isSameWrite: isSameWrite,
    });
    if (claimed.isErr) {
      logger.warn('claim_failed', { pool: pool.pool, kind: claimed.error.kind });
      return undefined;
    }
    return claimed.value.written ? claimed.value.value : undefined;
  }

  private claimOf(
    pool: RolePool,
    current: PoolRecord | undefined,
    found: readonly RegisteredEngine[],
  ): PoolRecord {
    const addresses = new Set(found.map((engine) => engine.address));
    const unresponsive = (current?.engines ?? []).filter(
      (engine) => !addresses.has(engine.address),
    );
    return {
      pool: pool.pool,
      zone: pool.zone,
      site: pool.site,
      owner: this.options.self,
      epoch: (current?.epoch ?? 0) + 1,
      writeId: randomUUID(),
      configurationFloor: current?.configurationFloor ?? 0,
      // An engine that did not reply stays registered and counted until it replies or is
      // unregistered.
      engines: [...found, ...unresponsive],
    };
  }

  /** Requests the incarnations of the pool's engines; engines that do not reply are left out. */
  private async findEngines(
    pool: string,
    registered: readonly RegisteredEngine[],
  ): Promise<RegisteredEngine[]> {
    const addresses = new Set(registered.map((engine) => engine.address));
    for (const machine of this.options.directory.machines()) {
      if (machine.pool === pool && machine.state === 'live') addresses.add(machine.address);
    }
    const results = await Promise.all(
      [...addresses].map(async (address) => {
        const status = await this.options.engines.status(address);
        return status.isOk ? [{ address, incarnation: status.value.incarnation }] : [];
      }),
    );
    return results.flat();
  }

  /**
   * Starts the owner process if the configuration has reached the pool's configuration floor;
   * retries later otherwise, because an owner must not act on an older configuration.
   */
  private startWhenCurrent(record: PoolRecord): void {
    const { logger, clock } = this.options;
    if (this.options.configurationRevision() < record.configurationFloor) {
      this.retryAt.set(record.pool, clock.now() + CLAIM_RETRY_MS);
      return;
    }
    logger.info('pool_claimed', { pool: record.pool, epoch: record.epoch });
    this.owners.set(record.pool, this.options.startOwner(record));
  }
}
