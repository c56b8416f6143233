/**
 * Which pools this daemon owns: claims a pool by compare-and-swap when it ranks
 * first for it and the pool has no living owner, and runs an owner for each.
 */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import {
  preferredOwner,
  reachesHalfOfSite,
  type DutyMember,
  type DutyPool,
} from '../core/duties.js';
import type { Membership } from '../core/membership.js';
import type { PoolRecord, RegisteredEngine } from '../core/records.js';
import type { EngineClient } from '../engines/engine-client.js';
import type { PlatformClient } from '../platform/platform-client.js';
import { updateObject } from './conditional-update.js';
import type { Directory } from './directory.js';
import { PoolOwnerProcess, sameWrite } from './pool-owner-process.js';

/** Milliseconds before a pool whose claim failed is looked at again. */
const CLAIM_RETRY_MS = 500;

/** What claims need around them. */
export interface PoolClaimsOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly directory: Directory;
  /** The daemons of the platform's list. */
  readonly listed: () => readonly DutyMember[];
  /** Revision that the configuration has reached. */
  readonly configurationRevision: () => number;
  /** Starts an owner for a record that names this daemon. */
  readonly startOwner: (record: PoolRecord) => PoolOwnerProcess;
}

/** The pools of one daemon. */
export class PoolClaims {
  readonly owners = new Map<string, PoolOwnerProcess>();
  private readonly claiming = new Set<string>();
  private readonly retryAt = new Map<string, number>();
  private stopped = false;

  constructor(private readonly options: PoolClaimsOptions) {}

  /** Looks at all pools; called when members or pools have changed, and at intervals. */
  evaluate(): void {
    if (this.stopped) return;
    for (const pool of this.knownPools()) {
      if (this.shouldClaim(pool)) void this.claim(pool);
    }
  }

  /** Forgets an owner that has lost its pool. */
  lost(pool: string, epoch: number): void {
    if (this.owners.get(pool)?.epoch === epoch) this.owners.delete(pool);
  }

  /** Hands all pools over. */
  async release(): Promise<void> {
    this.stopped = true;
    const owners = [...this.owners.values()];
    this.owners.clear();
    await Promise.all(owners.map((owner) => owner.release()));
  }

  /** Ends all owners without a hand-over. */
  stop(): void {
    this.stopped = true;
    for (const owner of this.owners.values()) owner.stop();
    this.owners.clear();
  }

  /** Pools of the records, and of the engines that the platform lists. */
  private knownPools(): DutyPool[] {
    const pools = new Map<string, DutyPool>();
    for (const record of this.options.directory.pools()) pools.set(record.pool, record);
    for (const machine of this.options.directory.machines()) {
      if (machine.kind !== 'engine' || pools.has(machine.pool)) continue;
      pools.set(machine.pool, { pool: machine.pool, zone: machine.zone, site: machine.site });
    }
    return [...pools.values()];
  }

  private shouldClaim(pool: DutyPool): boolean {
    const { self, membership, clock, directory } = this.options;
    if (this.claiming.has(pool.pool) || this.owners.has(pool.pool)) return false;
    if ((this.retryAt.get(pool.pool) ?? 0) > clock.now()) return false;
    const live = membership.live();
    if (preferredOwner(pool, live) !== self) return false;
    if (!reachesHalfOfSite(pool, live, this.options.listed())) return false;
    const owner = directory.pool(pool.pool)?.owner ?? '';
    return owner === '' || owner === self || !membership.isLive(owner);
  }

  private async claim(pool: DutyPool): Promise<void> {
    this.claiming.add(pool.pool);
    const record = await this.writeClaim(pool);
    if (record !== undefined && !this.stopped) this.startWhenCurrent(record);
    else this.retryAt.set(pool.pool, this.options.clock.now() + CLAIM_RETRY_MS);
    this.claiming.delete(pool.pool);
  }

  private async writeClaim(pool: DutyPool): Promise<PoolRecord | undefined> {
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
      isOwn: sameWrite,
    });
    if (claimed.isErr) {
      logger.warn('claim_failed', { pool: pool.pool, kind: claimed.error.kind });
      return undefined;
    }
    return claimed.value.written ? claimed.value.value : undefined;
  }

  private claimOf(
    pool: DutyPool,
    current: PoolRecord | undefined,
    found: readonly RegisteredEngine[],
  ): PoolRecord {
    const addresses = new Set(found.map((engine) => engine.address));
    const silent = (current?.engines ?? []).filter((engine) => !addresses.has(engine.address));
    return {
      pool: pool.pool,
      zone: pool.zone,
      site: pool.site,
      owner: this.options.self,
      epoch: (current?.epoch ?? 0) + 1,
      writeId: randomUUID(),
      configurationFloor: current?.configurationFloor ?? 0,
      // An engine that is silent stays registered as it was, and counts until it answers or is gone.
      engines: [...found, ...silent],
    };
  }

  /** Asks the pool's engines for their incarnations. */
  private async findEngines(
    pool: string,
    registered: readonly RegisteredEngine[],
  ): Promise<RegisteredEngine[]> {
    const addresses = new Set(registered.map((engine) => engine.address));
    for (const machine of this.options.directory.machines()) {
      if (machine.pool === pool && machine.state === 'live') addresses.add(machine.address);
    }
    const answers = await Promise.all(
      [...addresses].map(async (address) => {
        const status = await this.options.engines.status(address);
        return status.isOk ? [{ address, incarnation: status.value.incarnation }] : [];
      }),
    );
    return answers.flat();
  }

  /** An owner acts only on a configuration at least as new as the pool's floor. */
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
