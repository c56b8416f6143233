/**
 * The owner of a pool: decides which replicas its engines load and unload.
 * Deterministic: no I/O, no clock, no randomness of its own. One process owns
 * an instance, hands events in, and performs the effects in order.
 *
 * Safety rests on the seal (an engine refuses orders of lower epochs) and on
 * counting: a replica counts from the moment its load is decided until the
 * engine confirms the unload, and an engine that has not answered the seal
 * counts as holding a replica of every tenant.
 */
import type {
  EngineOrder,
  OrderAnswer,
  OrderFence,
  ReplicaSpec,
} from '../engines/engine-client.js';
import { priorityNumber, type TenantSpec } from './documents.js';
import { Demand } from './demand.js';
import { EngineLedger, type CountedReplica } from './engine-ledger.js';
import type { KeepAlivePolicy } from './keep-alive.js';
import { LoadTimes } from './load-times.js';
import { LocationPublisher } from './location-publisher.js';
import type { PlacementPolicy } from './placement.js';
import { PoolLocator, type LoadFailure } from './pool-locator.js';
import type { PooledTenant, PoolEffect, PoolEvent, WakeRequest } from './pool-messages.js';
import type { RegisteredEngine } from './records.js';
import { replicaSpecOf, sameReplica } from './replica-spec.js';

/** Milliseconds before a tenant whose load failed is tried again. */
const LOAD_RETRY_MS = 2_000;
/** Milliseconds that a replica is safe from eviction after its last use. */
const EVICTION_GRACE_MS = 1_000;

/** How an owner decides. */
export interface PoolOwnerOptions {
  readonly pool: string;
  readonly epoch: number;
  readonly engines: readonly RegisteredEngine[];
  readonly placement: PlacementPolicy;
  readonly keepAlive: KeepAlivePolicy;
  /** Loads from the weight store at once; this pool's part of the store's full speed. */
  readonly remoteLoads: number;
  /** How waiting loads are ordered. Default `urgency`; `arrival` is a baseline. */
  readonly loadOrder?: 'urgency' | 'arrival';
}

/** The state of one pool under one epoch. */
export class PoolOwner {
  readonly engines = new Map<string, EngineLedger>();
  private readonly tenants = new Map<string, PooledTenant>();
  private readonly demands = new Map<string, Demand>();
  /** Last use of tenants whose replica was unloaded here. */
  private readonly lastUses = new Map<string, number>();
  private readonly failures = new Map<string, LoadFailure>();
  private readonly acknowledged = new Map<string, number>();
  private readonly registering = new Set<string>();
  /** Tenants whose quota here is to come down to a target. */
  private readonly shrinking = new Set<string>();
  /** Tenants whose location may have changed since it was last pushed. */
  private readonly dirty = new Set<string>();
  private readonly loadTimes = new LoadTimes();
  private effects: PoolEffect[] = [];
  private readonly publisher = new LocationPublisher();
  private readonly locator: PoolLocator;
  private lost = false;

  constructor(private readonly options: PoolOwnerOptions) {
    for (const engine of options.engines) this.addEngine(engine);
    this.locator = new PoolLocator({
      pool: options.pool,
      epoch: options.epoch,
      engines: this.engines,
      loadTimes: this.loadTimes,
      failure: (tenant) => this.failures.get(tenant),
      specOf: (tenant) => this.specOf(tenant),
      allowed: (tenant) => this.allowed(tenant),
      countReplicas: (tenant) => this.countReplicas(tenant),
    });
  }

  /** The first effects: a seal for each engine of the record. */
  start(): PoolEffect[] {
    this.effects = [];
    for (const engine of this.engines.values()) this.seal(engine);
    return this.effects;
  }

  /** Handles one event and returns what is to be done. */
  handle(event: PoolEvent, now: number): PoolEffect[] {
    this.effects = [];
    if (this.lost) return this.effects;
    const engine = 'engine' in event && typeof event.engine === 'string' ? event.engine : '';
    const before = this.engines.get(engine)?.stateSignature();
    this.markEngine(engine);
    this.apply(event, now);
    if (this.engines.get(engine)?.stateSignature() === before) this.dirty.clear();
    else this.markEngine(engine);
    if (!this.lost) this.plan(event, now);
    return this.effects;
  }

  private markEngine(address: string): void {
    for (const tenant of this.engines.get(address)?.replicas.keys() ?? []) this.dirty.add(tenant);
  }

  /** Replicas of a tenant that are counted, from decided loads to confirmed unloads. */
  countReplicas(tenant: string): number {
    let count = 0;
    for (const engine of this.engines.values()) {
      // Nothing is known of an unsealed engine: it may hold one.
      if (!engine.sealed || engine.replicas.has(tenant)) count += 1;
    }
    return count;
  }

  /** Whether all engines have answered the seal. */
  isSealed(): boolean {
    return [...this.engines.values()].every((engine) => engine.sealed);
  }

  /** Tenants with a replica or a subscriber, for the status page. */
  activeTenants(): string[] {
    const names = new Set(this.demands.keys());
    for (const engine of this.engines.values()) {
      for (const tenant of engine.replicas.keys()) names.add(tenant);
    }
    return [...names];
  }

  /** A tenant as this pool sees it. */
  tenant(name: string): PooledTenant | undefined {
    return this.tenants.get(name);
  }

  /** Requests waiting for a tenant at all routers. */
  waiting(name: string, now: number): number {
    return this.demands.get(name)?.waiting(now) ?? 0;
  }

  private apply(event: PoolEvent, now: number): void {
    switch (event.type) {
      case 'tenant_changed':
        return this.changeTenant(event.name, event.tenant);
      case 'order_answered':
        return this.orderAnswered(event.engine, event.fence, event.answer, now);
      case 'report': {
        const engine = this.engines.get(event.engine);
        if (engine !== undefined) this.adoptReport(engine, event.report, now);
        return;
      }
      case 'engine_unreachable': {
        const engine = this.engines.get(event.engine);
        if (engine !== undefined) engine.reachable = false;
        return;
      }
      case 'engine_registered':
        return this.engineRegistered(event.engine);
      case 'engine_unregistered':
        this.engines.delete(event.engine);
        this.registering.delete(event.engine);
        return;
      case 'engine_listed': {
        const engine = this.engines.get(event.engine);
        if (engine !== undefined) engine.listedLeaving = event.leaving;
        return;
      }
      case 'engine_gone': {
        const engine = this.engines.get(event.engine);
        if (engine === undefined || (engine.sealed && engine.reachable)) return;
        this.effects.push({ type: 'unregister_engine', engine: event.engine });
        return;
      }
      case 'wake':
        return this.addWake(event.wake, now);
      case 'tick':
        return this.expireDemands(now);
    }
  }

  private addEngine(engine: RegisteredEngine): EngineLedger {
    const ledger = new EngineLedger(engine.address, engine.incarnation);
    this.engines.set(engine.address, ledger);
    return ledger;
  }

  private changeTenant(name: string, tenant: PooledTenant | undefined): void {
    if (tenant === undefined) this.tenants.delete(name);
    else this.tenants.set(name, tenant);
    if (tenant?.shrinkTo === undefined) this.shrinking.delete(name);
    else this.shrinking.add(name);
  }

  private addWake(wake: WakeRequest, now: number): void {
    const demand = this.demands.get(wake.tenant) ?? new Demand();
    this.demands.set(wake.tenant, demand);
    demand.add(wake, now);
    // The router may have lost the last push: it gets the state anew.
    this.publisher.forget(wake.router, wake.tenant);
  }

  private expireDemands(now: number): void {
    for (const [tenant, demand] of this.demands) {
      if (!demand.expire(now)) continue;
      if (demand.size === 0) this.demands.delete(tenant);
    }
    this.publisher.keepOnly((router, tenant) =>
      (this.demands.get(tenant)?.subscribers() ?? []).includes(router),
    );
  }

  private orderAnswered(
    address: string,
    fence: OrderFence,
    answer: OrderAnswer,
    now: number,
  ): void {
    const engine = this.engines.get(address);
    if (engine === undefined || fence.incarnation !== engine.incarnation) return;
    if (answer.accepted) {
      // Only the answer to a seal of this epoch shows that older orders are refused from now on.
      if (answer.report.epoch === this.options.epoch) engine.sealed = true;
      this.adoptReport(engine, answer.report, now);
      return;
    }
    if (answer.refusal === 'stale_epoch') return this.lose(`${address} is sealed by a newer owner`);
    if (answer.refusal === 'wrong_incarnation') return this.register(address, answer.incarnation);
    if (answer.refusal === 'leaving') engine.markLeaving();
    this.orderRefused(engine, fence.sequence);
    this.seal(engine);
  }

  /** An order that was refused has changed nothing: its load is not counted any more. */
  private orderRefused(engine: EngineLedger, sequence: number): void {
    for (const [tenant, replica] of engine.replicas) {
      if (replica.sequence !== sequence) continue;
      if (replica.state === 'ordered') engine.replicas.delete(tenant);
    }
  }

  private lose(reason: string): void {
    this.lost = true;
    this.effects.push({ type: 'ownership_lost', reason });
  }

  private register(address: string, incarnation: string): void {
    if (this.registering.has(address)) return;
    this.registering.add(address);
    this.effects.push({ type: 'register_engine', engine: { address, incarnation } });
  }

  /** Only now may the incarnation be sealed: an older owner's registration fails from here on. */
  private engineRegistered(registered: RegisteredEngine): void {
    this.registering.delete(registered.address);
    const known = this.engines.get(registered.address);
    const engine = known ?? this.addEngine(registered);
    if (engine.incarnation !== registered.incarnation) engine.restart(registered.incarnation);
    engine.reachable = true;
    if (!engine.sealed) this.seal(engine);
  }

  private adoptReport(
    engine: EngineLedger,
    report: Parameters<EngineLedger['adopt']>[0],
    now: number,
  ): void {
    engine.reachable = true;
    if (report.incarnation !== engine.incarnation) {
      return this.register(engine.address, report.incarnation);
    }
    if (report.epoch > this.options.epoch) return this.lose(`${engine.address} has a newer epoch`);
    if (!engine.sealed || report.epoch !== this.options.epoch) return;
    const news = engine.adopt(report, now);
    for (const loaded of news.loaded) this.loadFinished(loaded, now);
    for (const { tenant, idleMs } of news.woken) this.options.keepAlive.observeIdle(tenant, idleMs);
    for (const replica of engine.replicas.values()) {
      if (replica.state === 'failed') this.loadFailed(engine, replica, now);
    }
  }

  private loadFinished(replica: CountedReplica, now: number): void {
    const milliseconds = now - replica.orderedAt;
    const tenant = replica.spec.tenant;
    this.failures.delete(tenant);
    if (milliseconds > 0)
      this.loadTimes.observe(replica.tier, replica.spec.modelBytes, milliseconds);
    this.effects.push({ type: 'load_finished', tenant, tier: replica.tier, milliseconds });
  }

  private loadFailed(engine: EngineLedger, replica: CountedReplica, now: number): void {
    this.failures.set(replica.spec.tenant, { until: now + LOAD_RETRY_MS });
    this.unload(engine, replica.spec.tenant);
  }

  private seal(engine: EngineLedger): void {
    this.order(engine, { type: 'seal' });
  }

  private order(engine: EngineLedger, order: EngineOrder): number {
    const sequence = engine.nextSequence();
    const { pool, epoch } = this.options;
    const fence = { pool, epoch, incarnation: engine.incarnation, sequence };
    this.effects.push({ type: 'send_order', engine: engine.address, fence, order });
    return sequence;
  }

  private unload(engine: EngineLedger, tenant: string): void {
    const sequence = this.order(engine, { type: 'unload', tenant });
    const lastUsedAt = engine.replicas.get(tenant)?.lastUsedAt;
    if (lastUsedAt !== undefined) this.lastUses.set(tenant, lastUsedAt);
    engine.countUnload(tenant, sequence);
  }

  private plan(event: PoolEvent, now: number): void {
    if (event.type === 'tick') {
      this.releaseIdle(now);
      for (const tenant of this.demands.keys()) this.dirty.add(tenant);
    }
    if (event.type === 'wake') this.dirty.add(event.wake.tenant);
    if (event.type === 'tenant_changed') this.dirty.add(event.name);
    this.unloadSurplus();
    this.acknowledgeShrinks();
    this.startLoads(now);
    this.pushLocations(now);
  }

  /** Unloads replicas that have idled for longer than their keep-alive. */
  private releaseIdle(now: number): void {
    for (const engine of this.engines.values()) {
      if (!engine.sealed) continue;
      for (const [name, replica] of engine.replicas) {
        if (replica.state !== 'loaded' || replica.inFlight > 0) continue;
        if ((this.demands.get(name)?.total(now) ?? 0) > 0) continue;
        const spec = this.specOf(name);
        const keepMs = spec === undefined ? 0 : this.options.keepAlive.keepMs(spec);
        if (now - replica.lastUsedAt >= keepMs) this.unload(engine, name);
      }
    }
  }

  /** Comes down to what the quotas and the documents allow now. */
  private unloadSurplus(): void {
    for (const engine of this.engines.values()) {
      if (!engine.sealed) continue;
      for (const [name, replica] of engine.replicas) {
        if (replica.state === 'unloading') continue;
        const surplus = this.countKept(name) > this.allowed(name);
        // A leaving engine finishes what runs and gives its replicas up, so that they can be
        // loaded elsewhere before it goes.
        const goes = surplus || engine.leaving || this.isOutdated(replica);
        if (goes) this.unload(engine, name);
      }
    }
  }

  /** Confirms the quotas that this pool has come down to; each version once. */
  private acknowledgeShrinks(): void {
    for (const name of this.shrinking) {
      const tenant = this.tenants.get(name);
      if (tenant?.shrinkTo === undefined) continue;
      if (this.countReplicas(name) > tenant.shrinkTo) continue;
      if (this.acknowledged.get(name) === tenant.quotaVersion) continue;
      this.acknowledged.set(name, tenant.quotaVersion);
      const { quotaVersion } = tenant;
      this.effects.push({ type: 'acknowledge_shrink', tenant: name, quotaVersion });
    }
  }

  /** Allows a failed acknowledgement to be tried again. */
  retryAcknowledgement(tenant: string): void {
    this.acknowledged.delete(tenant);
  }

  private specOf(name: string): TenantSpec | undefined {
    return this.tenants.get(name)?.spec;
  }

  private allowed(name: string): number {
    return this.tenants.get(name)?.allowed ?? 0;
  }

  /** Counted replicas that are not on their way out. */
  private countKept(name: string): number {
    let kept = 0;
    for (const engine of this.engines.values()) {
      const replica = engine.replicas.get(name);
      if (replica !== undefined && replica.state !== 'unloading') kept += 1;
    }
    return kept;
  }

  /** Whether the tenant's document now names another model, version or adapters. */
  private isOutdated(replica: CountedReplica): boolean {
    const spec = this.specOf(replica.spec.tenant);
    return spec === undefined || !sameReplica(replicaSpecOf(spec), replica.spec);
  }

  private startLoads(now: number): void {
    for (const name of this.wantedTenants(now)) this.startLoad(name, now);
  }

  /** Tenants that need one more replica, most urgent first. */
  private wantedTenants(now: number): string[] {
    const wanted = [...this.demands.entries()]
      .filter(([name, demand]) => this.needsReplica(name, demand, now))
      .map(([name, demand]) => ({
        name,
        priority: demand.priority(now),
        deadline: demand.deadline(now),
      }));
    if (this.options.loadOrder !== 'arrival') {
      wanted.sort((a, b) => a.priority - b.priority || a.deadline - b.deadline);
    }
    return wanted.map((entry) => entry.name);
  }

  private needsReplica(name: string, demand: Demand, now: number): boolean {
    const spec = this.specOf(name);
    if (spec === undefined || demand.waiting(now) === 0) return false;
    if ((this.failures.get(name)?.until ?? 0) > now) return false;
    const desired = Math.ceil(demand.total(now) / spec.slots);
    const allowed = this.allowed(name);
    if (this.countUsable(name) >= Math.min(desired, allowed)) return false;
    return this.countReplicas(name) < allowed;
  }

  private countUsable(name: string): number {
    let usable = 0;
    for (const engine of this.engines.values()) {
      const state = engine.takesLoads() ? engine.replicas.get(name)?.state : undefined;
      if (state === 'loaded' || state === 'loading' || state === 'ordered') usable += 1;
    }
    return usable;
  }

  private startLoad(name: string, now: number): void {
    const tenant = this.specOf(name);
    if (tenant === undefined) return;
    const spec = replicaSpecOf(tenant);
    const engines = [...this.engines.values()].filter(
      (engine) => engine.takesLoads() && !engine.replicas.has(name) && this.mayFetch(engine, spec),
    );
    if (engines.some((engine) => engine.fitsAfterUnloads(spec))) return;
    const urgency = priorityNumber(tenant.priority);
    const placement = this.options.placement.choose(spec, engines, (engine, other) =>
      this.isEvictable(engine, other, urgency, now),
    );
    if (placement === undefined) return;
    if (placement.evict.length > 0) {
      for (const other of placement.evict) this.unload(placement.engine, other);
      return;
    }
    const priority = this.demands.get(name)?.priority(now) ?? urgency;
    const order = { type: 'load', replica: spec, priority } as const;
    const sequence = this.order(placement.engine, order);
    const lastUse = this.lastUses.get(name);
    if (lastUse !== undefined) this.options.keepAlive.observeIdle(name, now - lastUse);
    this.lastUses.delete(name);
    placement.engine.countLoad(spec, sequence, now);
  }

  /** Loads from the weight store wait while this pool's part of its speed is used up. */
  private mayFetch(engine: EngineLedger, spec: ReplicaSpec): boolean {
    if (engine.tierOf(spec.model) !== 'remote') return true;
    return this.remoteLoadsRunning() < this.options.remoteLoads;
  }

  private remoteLoadsRunning(): number {
    let running = 0;
    for (const engine of this.engines.values()) {
      for (const replica of engine.replicas.values()) {
        const loading = replica.state === 'ordered' || replica.state === 'loading';
        if (loading && replica.tier === 'remote') running += 1;
      }
    }
    return running;
  }

  private isEvictable(engine: EngineLedger, name: string, urgency: number, now: number): boolean {
    const replica = engine.replicas.get(name);
    if (replica === undefined || replica.state !== 'loaded' || replica.inFlight > 0) return false;
    if ((this.demands.get(name)?.waiting(now) ?? 0) > 0) return false;
    const spec = this.specOf(name);
    const keepsForever = spec?.keepAlive.policy === 'forever';
    const moreUrgent = spec !== undefined && priorityNumber(spec.priority) < urgency;
    if (keepsForever || moreUrgent) return false;
    return now - replica.lastUsedAt >= EVICTION_GRACE_MS;
  }

  private pushLocations(now: number): void {
    for (const name of this.dirty) {
      const demand = this.demands.get(name);
      if (demand === undefined) continue;
      const location = this.locator.locate(name, demand, now);
      this.effects.push(...this.publisher.publish(location, demand.subscribers()));
    }
    this.dirty.clear();
  }
}
