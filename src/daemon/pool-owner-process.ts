/**
 * Runs the owner of one pool for one epoch: sends its orders to engines, receives the
 * engines' reports, and maintains the pool's record.
 */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../common/clock.js';
import { faultText, type Logger } from '../common/logger.js';
import {
  Mailbox,
  sleep,
  startConsumer,
  startSerialWorker,
  startTicker,
} from '../common/process.js';
import type { KeepAlivePolicy } from '../core/keep-alive.js';
import type { PlacementPolicy } from '../core/placement.js';
import type { PoolEffect, PoolEvent, TenantLocation, WakeRequest } from '../core/pool-messages.js';
import { PoolOwner } from '../core/pool-owner.js';
import { acknowledgeShrink } from '../core/quota.js';
import type { PoolRecord, RegisteredEngine } from '../core/records.js';
import type { EngineClient, RequestStream } from '../engines/engine-client.js';
import type { PlatformClient } from '../platform/platform-client.js';
import { updateObject } from './conditional-update.js';
import type { Directory } from './directory.js';
import type { DaemonMetrics } from './metrics.js';

/** Milliseconds between two checks of idle times, listed machines and expired wakes. */
const TICK_MS = 250;
/** Initial and maximum backoff between two attempts to send an order, in milliseconds. */
const ORDER_INITIAL_BACKOFF_MS = 50;
const ORDER_MAX_BACKOFF_MS = 1_000;
/** Milliseconds before a broken report stream is reopened. */
const REPORT_RETRY_MS = 300;
/**
 * Milliseconds for which an engine must be missing from the platform's list before it is considered
 * removed.
 */
const MISSING_ENGINE_TIMEOUT_MS = 10_000;
/** Milliseconds before a failed change of a record is retried. */
const RECORD_RETRY_MS = 500;

/** Dependencies and settings of {@link PoolOwnerProcess}. */
export interface PoolOwnerProcessOptions {
  readonly record: PoolRecord;
  readonly self: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: DaemonMetrics;
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly directory: Directory;
  readonly placement: PlacementPolicy;
  readonly keepAlive: KeepAlivePolicy;
  readonly remoteLoads: number;
  readonly pushLocation: (router: string, location: TenantLocation) => void;
  /** Called once when a newer owner has claimed the pool. */
  readonly onLost: (pool: string, epoch: number) => void;
}

type SendOrder = Extract<PoolEffect, { type: 'send_order' }>;

/** Owner process of one pool. */
export class PoolOwnerProcess {
  readonly pool: string;
  readonly epoch: number;
  private readonly owner: PoolOwner;
  private readonly events = new Mailbox<PoolEvent>(16_384);
  private readonly orders = new Map<string, Mailbox<SendOrder>>();
  private readonly recordJobs = new Mailbox<() => Promise<void>>();
  private readonly reports = new Map<string, RequestStream>();
  private readonly missingSince = new Map<string, number>();
  private readonly registeringEngines = new Set<string>();
  private readonly ticker: { stop(): void };
  private readonly claimedAt: number;
  private hasLoggedSealed = false;
  private stopped = false;

  constructor(private readonly options: PoolOwnerProcessOptions) {
    const { record, clock } = options;
    this.pool = record.pool;
    this.epoch = record.epoch;
    this.claimedAt = clock.now();
    this.owner = new PoolOwner({
      pool: record.pool,
      epoch: record.epoch,
      engines: record.engines,
      placement: options.placement,
      keepAlive: options.keepAlive,
      remoteLoads: options.remoteLoads,
    });
    const onError = this.onError.bind(this);
    startConsumer(this.events, (event) => this.handle(event), onError);
    startSerialWorker(this.recordJobs, (job) => job(), onError);
    this.ticker = startTicker(TICK_MS, () => this.tick(), onError);
    this.loadTenants();
    this.perform(this.owner.start());
    for (const engine of record.engines) this.followReports(engine.address);
  }

  /** Stops the process; pending orders are dropped. */
  stop(): void {
    if (this.stopped) return;
    this.stopped = true;
    this.ticker.stop();
    this.events.close();
    this.recordJobs.close();
    for (const mailbox of this.orders.values()) mailbox.close();
    for (const stream of this.reports.values()) stream.close();
  }

  /** Handles a router's wake request for a tenant. */
  wake(wake: WakeRequest): void {
    this.events.offer({ type: 'wake', wake });
  }

  /** Handles the change of an object of the configuration. */
  configurationChanged(key: string): void {
    const [kind = '', name = ''] = splitKey(key);
    if (kind === 'quota' || kind === 'tenant') this.refreshTenant(name);
    if (kind === 'template') this.refreshTemplate(name);
    if (kind === 'pool' && name === this.pool) this.checkRecord();
  }

  /** The owner's state, for the status report. */
  get state(): PoolOwner {
    return this.owner;
  }

  /** Stops the process and gives up the pool, so that another daemon can claim it at once. */
  async release(): Promise<void> {
    this.stop();
    await updateObject<PoolRecord>(this.options.platform, {
      kind: 'pool',
      name: this.pool,
      change: (current) => {
        if (current === undefined || !this.isOwnRecord(current)) return undefined;
        return { ...current, owner: '', writeId: randomUUID() };
      },
      isSameWrite: isSameWrite,
    });
  }

  /** Checks for a newer owner in the relayed record, which may name it before any engine does. */
  private checkRecord(): void {
    const record = this.options.directory.pool(this.pool);
    if (record !== undefined && record.epoch > this.epoch)
      this.reportOwnershipLost('the record has a newer epoch');
  }

  private onError(fault: unknown): void {
    this.options.logger.error('owner_fault', { pool: this.pool, reason: faultText(fault) });
  }

  private isOwnRecord(record: PoolRecord): boolean {
    return record.owner === this.options.self && record.epoch === this.epoch;
  }

  private loadTenants(): void {
    const { directory } = this.options;
    for (const name of directory.names('quota')) {
      const tenant = directory.pooledTenant(this.pool, name);
      if (tenant === undefined) continue;
      const event = { type: 'tenant_changed', name, tenant } as const;
      this.perform(this.owner.handle(event, this.options.clock.now()));
    }
  }

  private refreshTenant(name: string): void {
    const tenant = this.options.directory.pooledTenant(this.pool, name);
    if (tenant === undefined && this.owner.tenant(name) === undefined) return;
    this.events.offer({ type: 'tenant_changed', name, tenant });
  }

  private refreshTemplate(template: string): void {
    const { directory } = this.options;
    for (const name of directory.names('tenant')) {
      if (directory.templateOf(name) === template) this.refreshTenant(name);
    }
  }

  private handle(event: PoolEvent): void {
    if (this.stopped) return;
    this.perform(this.owner.handle(event, this.options.clock.now()));
    if (this.hasLoggedSealed || !this.owner.isSealed()) return;
    this.hasLoggedSealed = true;
    const milliseconds = this.options.clock.now() - this.claimedAt;
    this.options.logger.info('pool_sealed', { pool: this.pool, epoch: this.epoch, milliseconds });
  }

  private perform(effects: readonly PoolEffect[]): void {
    for (const effect of effects) this.performOne(effect);
  }

  private performOne(effect: PoolEffect): void {
    switch (effect.type) {
      case 'send_order':
        this.orderMailbox(effect.engine).offer(effect);
        return;
      case 'register_engine':
        this.recordJobs.offer(() => this.registerEngine(effect.engine));
        return;
      case 'unregister_engine':
        this.recordJobs.offer(() => this.unregisterEngine(effect.engine));
        return;
      case 'push_location':
        this.options.pushLocation(effect.router, effect.location);
        return;
      case 'acknowledge_shrink':
        this.recordJobs.offer(() => this.acknowledge(effect.tenant, effect.quotaVersion));
        return;
      case 'ownership_lost':
        this.reportOwnershipLost(effect.reason);
        return;
      case 'load_finished':
        this.loadFinished(effect);
        return;
    }
  }

  private loadFinished(effect: Extract<PoolEffect, { type: 'load_finished' }>): void {
    const { tenant, tier, milliseconds } = effect;
    this.options.metrics.loads.inc({ tier });
    const fields = { pool: this.pool, epoch: this.epoch, tenant, tier, milliseconds };
    this.options.logger.info('load_finished', fields);
  }

  private reportOwnershipLost(reason: string): void {
    if (this.stopped) return;
    this.options.logger.warn('ownership_lost', { pool: this.pool, epoch: this.epoch, reason });
    this.stop();
    this.options.onLost(this.pool, this.epoch);
  }

  private orderMailbox(engine: string): Mailbox<SendOrder> {
    const known = this.orders.get(engine);
    if (known !== undefined) return known;
    const mailbox = new Mailbox<SendOrder>();
    this.orders.set(engine, mailbox);
    startSerialWorker(mailbox, (effect) => this.sendOrder(effect), this.onError.bind(this));
    return mailbox;
  }

  /**
   * Sends an order until the engine replies. Repeating an order with the same sequence number is
   * harmless.
   */
  private async sendOrder(effect: SendOrder): Promise<void> {
    const { engine, fence, order } = effect;
    let backoffMs = ORDER_INITIAL_BACKOFF_MS;
    while (this.isOrderCurrent(effect)) {
      this.options.metrics.orders.inc({ type: order.type });
      const reply = await this.options.engines.order(engine, fence, order);
      if (reply.isOk) {
        this.events.offer({ type: 'order_answered', engine, fence, answer: reply.value });
        return;
      }
      await sleep(backoffMs);
      backoffMs = Math.min(backoffMs * 2, ORDER_MAX_BACKOFF_MS);
    }
  }

  /**
   * Whether an order is still valid: its engine belongs to the pool and its process has not
   * restarted. Other orders are dropped.
   */
  private isOrderCurrent(effect: SendOrder): boolean {
    if (this.stopped) return false;
    return this.owner.engines.get(effect.engine)?.incarnation === effect.fence.incarnation;
  }

  private followReports(engine: string): void {
    if (this.stopped || !this.owner.engines.has(engine)) return;
    const stream = this.options.engines.watchReports(engine, {
      onReport: (report) => void this.events.offer({ type: 'report', engine, report }),
      onBroken: () => {
        this.events.offer({ type: 'engine_unreachable', engine });
        void sleep(REPORT_RETRY_MS).then(() => this.followReports(engine));
      },
    });
    this.reports.set(engine, stream);
  }

  private tick(): void {
    if (this.stopped) return;
    this.events.offer({ type: 'tick' });
    this.countIdle();
    this.compareWithMachineList();
  }

  private countIdle(): void {
    let idle = 0;
    for (const engine of this.owner.engines.values()) {
      for (const replica of engine.replicas.values()) {
        if (replica.state === 'loaded' && replica.inFlight === 0) idle += 1;
      }
    }
    this.options.metrics.idleSeconds.inc((idle * TICK_MS) / 1000);
  }

  /**
   * Compares this pool's engines with the platform's list, which is only a hint and may be wrong.
   */
  private compareWithMachineList(): void {
    const now = this.options.clock.now();
    const listed = this.options.directory
      .machines()
      .filter((machine) => machine.pool === this.pool);
    const names = new Set(listed.map((machine) => machine.address));
    for (const machine of listed) {
      this.missingSince.delete(machine.address);
      if (this.owner.engines.has(machine.address)) {
        this.reportListed(machine.address, machine.state === 'leaving');
      } else if (machine.state === 'live') {
        void this.registerListedEngine(machine.address);
      }
    }
    for (const engine of this.owner.engines.keys()) {
      if (names.has(engine)) continue;
      const since = this.missingSince.get(engine) ?? now;
      this.missingSince.set(engine, since);
      if (now - since >= MISSING_ENGINE_TIMEOUT_MS)
        this.events.offer({ type: 'engine_gone', engine });
    }
  }

  private reportListed(engine: string, leaving: boolean): void {
    if (this.owner.engines.get(engine)?.listedLeaving === leaving) return;
    this.events.offer({ type: 'engine_listed', engine, leaving });
  }

  /** Registers an engine that is new in the platform's list. */
  private async registerListedEngine(engine: string): Promise<void> {
    if (this.registeringEngines.has(engine)) return;
    this.registeringEngines.add(engine);
    const status = await this.options.engines.status(engine);
    if (status.isOk && !this.stopped) {
      const { incarnation } = status.value;
      this.recordJobs.offer(() => this.registerEngine({ address: engine, incarnation }));
    } else {
      await sleep(RECORD_RETRY_MS);
    }
    this.registeringEngines.delete(engine);
  }

  /**
   * Writes an engine's incarnation into the pool's record; the engine is sealed only after that.
   */
  private async registerEngine(engine: RegisteredEngine): Promise<void> {
    const done = await this.updateRecord((record) => ({
      ...record,
      engines: [...withoutEngine(record, engine.address), engine],
    }));
    if (!done) return;
    this.options.logger.info('engine_registered', { pool: this.pool, engine: engine.address });
    const isNew = !this.owner.engines.has(engine.address);
    this.handle({ type: 'engine_registered', engine });
    if (isNew) this.followReports(engine.address);
  }

  private async unregisterEngine(engine: string): Promise<void> {
    if (!this.owner.engines.has(engine)) return;
    const done = await this.updateRecord((record) => ({
      ...record,
      engines: withoutEngine(record, engine),
    }));
    if (!done) return;
    this.reports.get(engine)?.close();
    this.reports.delete(engine);
    this.orders.get(engine)?.close();
    this.orders.delete(engine);
    this.options.logger.info('engine_unregistered', { pool: this.pool, engine });
    this.handle({ type: 'engine_unregistered', engine });
  }

  /**
   * Acknowledges that the pool has shrunk to its target. The configuration floor is
   * written to the pool's record first: a later owner with an older configuration must
   * not use the quota that is given up here.
   */
  private async acknowledge(tenant: string, quotaVersion: number): Promise<void> {
    const isFloorWritten = await this.updateRecord((record) => ({
      ...record,
      configurationFloor: Math.max(record.configurationFloor, quotaVersion),
    }));
    const { platform, directory } = this.options;
    const record = directory.quota(tenant);
    const isCurrent = directory.version('quota', tenant) === quotaVersion && record !== undefined;
    if (isFloorWritten && isCurrent) {
      const value = acknowledgeShrink(record, this.pool);
      const name = tenant;
      const written = await platform.write({
        kind: 'quota',
        name,
        expectedVersion: quotaVersion,
        value,
      });
      if (written.isOk) return;
      await sleep(RECORD_RETRY_MS);
    }
    // Retries, unless the watch delivers a newer version of the quota.
    this.owner.retryAcknowledgement(tenant);
  }

  /**
   * Changes the pool's record while this owner holds it. Returns false after a stop or the loss of
   * the pool.
   */
  private async updateRecord(change: (record: PoolRecord) => PoolRecord): Promise<boolean> {
    while (!this.stopped) {
      let isOwnedElsewhere = false;
      const updated = await updateObject<PoolRecord>(this.options.platform, {
        kind: 'pool',
        name: this.pool,
        change: (current) => {
          isOwnedElsewhere = current === undefined || !this.isOwnRecord(current);
          if (current === undefined || isOwnedElsewhere) return undefined;
          return { ...change(current), writeId: randomUUID() };
        },
        isSameWrite: isSameWrite,
      });
      if (isOwnedElsewhere) {
        this.reportOwnershipLost('the record names a newer owner');
        return false;
      }
      if (updated.isOk) return true;
      await sleep(RECORD_RETRY_MS);
    }
    return false;
  }
}

/** Whether a record that was read back comes from the given write. */
export function isSameWrite(written: PoolRecord, found: PoolRecord): boolean {
  return written.writeId === found.writeId;
}

function withoutEngine(record: PoolRecord, address: string): RegisteredEngine[] {
  return record.engines.filter((engine) => engine.address !== address);
}

function splitKey(key: string): [kind: string, name: string] {
  const slash = key.indexOf('/');
  return [key.slice(0, slash), key.slice(slash + 1)];
}
