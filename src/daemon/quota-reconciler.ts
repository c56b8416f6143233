/**
 * Keeps the quota records consistent with the tenants and pools. One daemon ranks first
 * for each tenant and writes its record; if two daemons consider themselves first, the
 * compare-and-swap accepts only one of the writes.
 */
import type { Logger } from '../common/logger.js';
import { faultText } from '../common/logger.js';
import { Mailbox, sleep, startSerialWorker } from '../common/process.js';
import { quotaPartition, quotaPartitionsOf } from '../core/roles.js';
import type { Membership } from '../core/membership.js';
import { reconcileQuota, type QuotaPool } from '../core/quota.js';
import type { PlatformClient } from '../platform/platform-client.js';
import type { Directory } from './directory.js';

/** Milliseconds between two writes, so that a large change does not overload the object API. */
const WRITE_PAUSE_MS = 2;
/**
 * Milliseconds for which membership changes are collected before the partitions are
 * recomputed, which requires ranking all members for each partition.
 */
const PARTITIONS_DELAY_MS = 1_000;
/** Milliseconds for which requests to check all tenants are collected. */
const CHECK_ALL_DELAY_MS = 50;
/**
 * Milliseconds before a tenant is checked again if a write has failed or this daemon may not write.
 */
const RETRY_MS = 500;

/** Dependencies of {@link QuotaReconciler}. */
export interface QuotaReconcilerOptions {
  readonly self: string;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  readonly directory: Directory;
  readonly logger: Logger;
  /**
   * Whether this daemon may write: its configuration is current and it reaches at least
   * half of the listed daemons. A daemon that has just started knows only itself and
   * would consider itself responsible for all tenants.
   */
  readonly mayWrite: () => boolean;
}

/** Writes the quota records of the tenants that this daemon is responsible for. */
export class QuotaReconciler {
  private readonly queue = new Mailbox<string>(65_536);
  private readonly queued = new Set<string>();
  private partitions: ReadonlySet<number> = new Set();
  private partitionsTimer: NodeJS.Timeout | undefined;
  private checkAllTimer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: QuotaReconcilerOptions) {
    startSerialWorker(
      this.queue,
      (tenant) => this.reconcile(tenant),
      (fault) => options.logger.error('quota_fault', { reason: faultText(fault) }),
    );
  }

  /** Stops the reconciler. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.checkAllTimer);
    clearTimeout(this.partitionsTimer);
    this.queue.close();
  }

  /** Queues a check of one tenant if this daemon is responsible for it. */
  check(tenant: string): void {
    if (this.stopped || this.queued.has(tenant)) return;
    if (!this.isResponsibleFor(tenant)) return;
    this.queued.add(tenant);
    this.queue.offer(tenant);
  }

  /** Schedules a recomputation of this daemon's partitions; one covers all changes until then. */
  membersChanged(): void {
    if (this.partitionsTimer !== undefined || this.stopped) return;
    this.partitionsTimer = setTimeout(() => {
      this.partitionsTimer = undefined;
      this.refreshPartitions();
    }, PARTITIONS_DELAY_MS);
  }

  /** Recomputes this daemon's partitions, and checks all tenants if a partition was added. */
  private refreshPartitions(): void {
    const before = this.partitions;
    this.partitions = quotaPartitionsOf(this.options.self, this.options.membership.live());
    if ([...this.partitions].some((partition) => !before.has(partition))) this.scheduleCheckAll();
  }

  /** Schedules a check of all tenants; one check covers all calls until then. */
  scheduleCheckAll(): void {
    if (this.checkAllTimer !== undefined || this.stopped) return;
    this.checkAllTimer = setTimeout(() => {
      this.checkAllTimer = undefined;
      this.checkAll();
    }, CHECK_ALL_DELAY_MS);
  }

  private checkAll(): void {
    const { directory } = this.options;
    for (const name of directory.names('tenant')) this.check(name);
    for (const name of directory.names('quota')) this.check(name);
  }

  private isResponsibleFor(tenant: string): boolean {
    return this.partitions.has(quotaPartition(tenant));
  }

  private async reconcile(tenant: string): Promise<void> {
    this.queued.delete(tenant);
    if (this.stopped) return;
    const { directory, platform, logger } = this.options;
    if (!this.isResponsibleFor(tenant)) return;
    if (!this.options.mayWrite()) {
      setTimeout(() => this.check(tenant), RETRY_MS).unref();
      return;
    }
    const spec = directory.tenant(tenant);
    const record = directory.quota(tenant);
    const desired = {
      tenant,
      maxReplicas: spec?.maxReplicas ?? 0,
      sites: spec?.sites ?? [],
    };
    const next = reconcileQuota(desired, this.quotaPools(), record);
    const isObsolete = spec === undefined && record?.shares.length === 0;
    if (next === undefined && !isObsolete) return;
    const expectedVersion = directory.version('quota', tenant);
    const value = isObsolete ? undefined : next;
    const written = await platform.write({ kind: 'quota', name: tenant, expectedVersion, value });
    if (written.isErr) {
      logger.warn('quota_write_failed', { tenant, kind: written.error.kind });
      setTimeout(() => this.check(tenant), RETRY_MS).unref();
    }
    await sleep(WRITE_PAUSE_MS);
  }

  private quotaPools(): QuotaPool[] {
    return this.options.directory.pools().map(({ pool, site }) => ({ pool, site }));
  }
}
