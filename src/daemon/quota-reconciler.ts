/**
 * Keeps the quota records in step with the tenants and pools. Each tenant has
 * one daemon that ranks first for it; should two think so, the compare-and-swap
 * lets only one write through.
 */
import type { Logger } from '../common/logger.js';
import { faultText } from '../common/logger.js';
import { Mailbox, sleep, startSerialWorker } from '../common/process.js';
import { quotaPartition, quotaPartitionsOf } from '../core/duties.js';
import type { Membership } from '../core/membership.js';
import { reconcileQuota, type QuotaPool } from '../core/quota.js';
import type { PlatformClient } from '../platform/platform-client.js';
import type { Directory } from './directory.js';

/** Milliseconds between two writes, so that a large change does not flood the object API. */
const WRITE_PAUSE_MS = 2;
/**
 * Milliseconds for which changes of members are gathered: working the parts out
 * takes a ranking of all members for each part.
 */
const PARTS_DELAY_MS = 1_000;
/** Milliseconds for which calls to look at all tenants are gathered. */
const CHECK_ALL_DELAY_MS = 50;
/** Milliseconds before a failed write is looked at again. */
const RETRY_MS = 500;

/** What the reconciler needs around it. */
export interface QuotaReconcilerOptions {
  readonly self: string;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  readonly directory: Directory;
  readonly logger: Logger;
  /**
   * Whether this daemon may write: its configuration is current, and it sees
   * half of the listed daemons. One that has just started knows only itself, and
   * would take all tenants for its own.
   */
  readonly mayWrite: () => boolean;
}

/** Writes quota records. */
export class QuotaReconciler {
  private readonly queue = new Mailbox<string>(65_536);
  private readonly queued = new Set<string>();
  private parts: ReadonlySet<number> = new Set();
  private partsTimer: NodeJS.Timeout | undefined;
  private allTimer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: QuotaReconcilerOptions) {
    startSerialWorker(
      this.queue,
      (tenant) => this.reconcile(tenant),
      (fault) => options.logger.error('quota_fault', { reason: faultText(fault) }),
    );
  }

  /** Ends the work. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.allTimer);
    clearTimeout(this.partsTimer);
    this.queue.close();
  }

  /** Looks at one tenant. */
  check(tenant: string): void {
    if (this.stopped || this.queued.has(tenant)) return;
    if (!this.isOurs(tenant)) return;
    this.queued.add(tenant);
    this.queue.offer(tenant);
  }

  /** Works out anew which tenants are this daemon's, a little later and once for many changes. */
  membersChanged(): void {
    if (this.partsTimer !== undefined || this.stopped) return;
    this.partsTimer = setTimeout(() => {
      this.partsTimer = undefined;
      this.refreshParts();
    }, PARTS_DELAY_MS);
  }

  /** Looks at all tenants if more of them are this daemon's now. */
  private refreshParts(): void {
    const before = this.parts;
    this.parts = quotaPartitionsOf(this.options.self, this.options.membership.live());
    if ([...this.parts].some((part) => !before.has(part))) this.checkAllSoon();
  }

  /** Looks at all tenants a little later, once for many changes. */
  checkAllSoon(): void {
    if (this.allTimer !== undefined || this.stopped) return;
    this.allTimer = setTimeout(() => {
      this.allTimer = undefined;
      this.checkAll();
    }, CHECK_ALL_DELAY_MS);
  }

  private checkAll(): void {
    const { directory } = this.options;
    for (const name of directory.names('tenant')) this.check(name);
    for (const name of directory.names('quota')) this.check(name);
  }

  private isOurs(tenant: string): boolean {
    return this.parts.has(quotaPartition(tenant));
  }

  private async reconcile(tenant: string): Promise<void> {
    this.queued.delete(tenant);
    if (this.stopped) return;
    const { directory, platform, logger } = this.options;
    if (!this.isOurs(tenant)) return;
    if (!this.options.mayWrite()) {
      setTimeout(() => this.check(tenant), RETRY_MS).unref();
      return;
    }
    const spec = directory.tenant(tenant);
    const record = directory.quota(tenant);
    const wish = {
      tenant,
      maxReplicas: spec?.maxReplicas ?? 0,
      sites: spec?.sites ?? [],
    };
    const next = reconcileQuota(wish, this.places(), record);
    const isLeftOver = spec === undefined && record?.shares.length === 0;
    if (next === undefined && !isLeftOver) return;
    const expectedVersion = directory.version('quota', tenant);
    const value = isLeftOver ? undefined : next;
    const written = await platform.write({ kind: 'quota', name: tenant, expectedVersion, value });
    if (written.isErr) {
      logger.warn('quota_write_failed', { tenant, kind: written.error.kind });
      setTimeout(() => this.check(tenant), RETRY_MS).unref();
    }
    await sleep(WRITE_PAUSE_MS);
  }

  private places(): QuotaPool[] {
    return this.options.directory.pools().map(({ pool, site }) => ({ pool, site }));
  }
}
