/**
 * The owner of a pool: decides which replicas the pool's engines load and unload.
 * Deterministic: it performs no I/O and uses no clock and no random numbers. One
 * process owns an instance, passes events to it and performs the effects in order.
 *
 * Safety depends on the seal (a sealed engine refuses orders of lower epochs) and
 * on the replica count: a replica counts from the moment its load is decided until
 * the engine confirms the unload, and an engine that has not answered the seal
 * counts as holding a replica of every tenant.
 */
import type { EngineOrder, OrderReply, OrderFence, ReplicaSpec } from '../engines/engine-client.js';
import { priorityNumber, type TenantSpec } from './documents.js';
import { TenantDemand } from './tenant-demand.js';
import { EngineLedger, type CountedReplica } from './engine-ledger.js';
import type { KeepAlivePolicy } from './keep-alive.js';
import { LoadTimeEstimator } from './load-time-estimator.js';
import { LocationPublisher } from './location-publisher.js';
import type { PlacementPolicy } from './placement.js';
import { PoolLocator, type LoadFailure } from './pool-locator.js';
import type { PooledTenant, PoolEffect, PoolEvent, WakeRequest } from './pool-messages.js';
import type { RegisteredEngine } from './records.js';
import { replicaSpecOf, sameReplica } from './replica-spec.js';

/** Milliseconds after a failed load before the owner retries it. */
const LOAD_RETRY_MS = 2_000;
/** Milliseconds after its last use during which a replica is not evicted. */
const EVICTION_GRACE_MS = 1_000;

/** Identity, engines and policies of an owner. */
export interface PoolOwnerOptions {
  readonly pool: string;
  readonly epoch: number;
  readonly engines: readonly RegisteredEngine[];
  readonly placement: PlacementPolicy;
  readonly keepAlive: KeepAlivePolicy;
  /** Maximum concurrent loads from the weight store; this pool's share of the loads that the store serves at full speed. */
  readonly remoteLoads: number;
  /** Order of pending loads. Default `urgency`; `arrival` is a baseline for comparison. */
  readonly loadOrder?: 'urgency' | 'arrival';
}

/** The state of one pool under one epoch. */
export class PoolOwner {
  readonly engines = new Map<string, EngineLedger>();
  private readonly tenants = new Map<string, PooledTenant>();
  private readonly demands = new Map<string, TenantDemand>();
  /** Last use, in Unix milliseconds, of tenants whose replica this pool unloaded. */
  private readonly lastUses = new Map<string, number>();
  private readonly failures = new Map<string, LoadFailure>();
  private readonly acknowledged = new Map<string, number>();
  private readonly registering = new Set<string>();
  /** Tenants whose replica count in this pool must shrink to a target. */
  private readonly shrinking = new Set<string>();
  /** Tenants whose location may have changed since the last push to routers. */
  private readonly dirtyTenants = new Set<string>();
  private readonly loadTimes = new LoadTimeEstimator();
  private effects: PoolEffect[] = [];
  private readonly publisher = new LocationPublisher();
  private readonly locator: PoolLocator;
  private hasLostOwnership = false;

  constructor(private readonly options: PoolOwnerOptions) {
    for (const engine of options.engines) this.addEngine(engine);
    this.locator = new PoolLocator({
      pool: options.pool,
      epoch: options.epoch,
      engines: this.engines,
      loadTimes: this.loadTimes,
      failure: (tenant) => this.failures.get(tenant),
      specOf: (tenant) => this.specOf(tenant),
      replicaLimit: (tenant) => this.replicaLimit(tenant),
      countReplicas: (tenant) => this.countReplicas(tenant),
    });
  }

  /** Returns the initial effects: a seal order for each registered engine. */
  start(): PoolEffect[] {
    this.effects = [];
    for (const engine of this.engines.values()) this.seal(engine);
    return this.effects;
  }

  /** Handles one event and returns the effects to perform. */
  handle(event: PoolEvent, now: number): PoolEffect[] {
    this.effects = [];
    if (this.hasLostOwnership) return this.effects;
    const engine = 'engine' in event && typeof event.engine === 'string' ? event.engine : '';
    const before = this.engines.get(engine)?.stateSignature();
    this.markTenantsDirty(engine);
    this.apply(event, now);
    if (this.engines.get(engine)?.stateSignature() === before) this.dirtyTenants.clear();
    else this.markTenantsDirty(engine);
    if (!this.hasLostOwnership) this.plan(event, now);
    return this.effects;
  }

  private markTenantsDirty(address: string): void {
    for (const tenant of this.engines.get(address)?.replicas.keys() ?? [])
      this.dirtyTenants.add(tenant);
  }

  /** Number of a tenant's replicas, counted from the decision to load until the confirmed unload. */
  countReplicas(tenant: string): number {
    let count = 0;
    for (const engine of this.engines.values()) {
      // The state of an unsealed engine is unknown, so it may hold a replica.
      if (!engine.sealed || engine.replicas.has(tenant)) count += 1;
    }
    return count;
  }

  /** Whether all engines have accepted the seal. */
  isSealed(): boolean {
    return [...this.engines.values()].every((engine) => engine.sealed);
  }

  /** Tenants with a replica or a subscribed router, for the status page. */
  activeTenants(): string[] {
    const names = new Set(this.demands.keys());
    for (const engine of this.engines.values()) {
      for (const tenant of engine.replicas.keys()) names.add(tenant);
    }
    return [...names];
  }

  /** Returns a tenant's settings and quota in this pool. */
  tenant(name: string): PooledTenant | undefined {
    return this.tenants.get(name);
  }

  /** Number of requests that wait for a tenant at all routers. */
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
    if (tenant?.shrinkTarget === undefined) this.shrinking.delete(name);
    else this.shrinking.add(name);
  }

  private addWake(wake: WakeRequest, now: number): void {
    const demand = this.demands.get(wake.tenant) ?? new TenantDemand();
    this.demands.set(wake.tenant, demand);
    demand.add(wake, now);
    // The router may have missed the last push, so the location is sent to it again.
    this.publisher.forget(wake.router, wake.tenant);
  }

  private expireDemands(now: number): void {
    for (const [tenant, demand] of this.demands) {
      if (!demand.expire(now)) continue;
      if (demand.routerCount === 0) this.demands.delete(tenant);
    }
    this.publisher.retainSubscribed((router, tenant) =>
      (this.demands.get(tenant)?.subscribers() ?? []).includes(router),
    );
  }

  private orderAnswered(address: string, fence: OrderFence, answer: OrderReply, now: number): void {
    const engine = this.engines.get(address);
    if (engine === undefined || fence.incarnation !== engine.incarnation) return;
    if (answer.accepted) {
      // Only an answer in this epoch proves that the engine refuses orders of older epochs from now on.
      if (answer.report.epoch === this.options.epoch) engine.sealed = true;
      this.adoptReport(engine, answer.report, now);
      return;
    }
    if (answer.refusal === 'stale_epoch')
      return this.loseOwnership(`a newer owner has sealed engine ${address}`);
    if (answer.refusal === 'wrong_incarnation') return this.register(address, answer.incarnation);
    if (answer.refusal === 'leaving') engine.markLeaving();
    this.uncountRefusedLoad(engine, fence.sequence);
    this.seal(engine);
  }

  /** Stops counting the load of a refused order, because the engine did not execute the order. */
  private uncountRefusedLoad(engine: EngineLedger, sequence: number): void {
    for (const [tenant, replica] of engine.replicas) {
      if (replica.sequence !== sequence) continue;
      if (replica.state === 'ordered') engine.replicas.delete(tenant);
    }
  }

  private loseOwnership(reason: string): void {
    this.hasLostOwnership = true;
    this.effects.push({ type: 'ownership_lost', reason });
  }

  private register(address: string, incarnation: string): void {
    if (this.registering.has(address)) return;
    this.registering.add(address);
    this.effects.push({ type: 'register_engine', engine: { address, incarnation } });
  }

  /** Seals a registered incarnation. This is safe only now: from here on an older owner's registration fails. */
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
    report: Parameters<EngineLedger['applyReport']>[0],
    now: number,
  ): void {
    engine.reachable = true;
    if (report.incarnation !== engine.incarnation) {
      return this.register(engine.address, report.incarnation);
    }
    if (report.epoch > this.options.epoch)
      return this.loseOwnership(`engine ${engine.address} has a newer epoch`);
    if (!engine.sealed || report.epoch !== this.options.epoch) return;
    const news = engine.applyReport(report, now);
    for (const loaded of news.loaded) this.loadFinished(loaded, now);
    for (const { tenant, idleMs } of news.reactivated)
      this.options.keepAlive.observeIdle(tenant, idleMs);
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
      this.unloadIdle(now);
      for (const tenant of this.demands.keys()) this.dirtyTenants.add(tenant);
    }
    if (event.type === 'wake') this.dirtyTenants.add(event.wake.tenant);
    if (event.type === 'tenant_changed') this.dirtyTenants.add(event.name);
    this.unloadSurplus();
    this.acknowledgeShrinks();
    this.startLoads(now);
    this.pushLocations(now);
  }

  /** Unloads replicas that have been idle for longer than their keep-alive duration. */
  private unloadIdle(now: number): void {
    for (const engine of this.engines.values()) {
      if (!engine.sealed) continue;
      for (const [name, replica] of engine.replicas) {
        if (replica.state !== 'loaded' || replica.inFlight > 0) continue;
        if ((this.demands.get(name)?.waitingAndInFlight(now) ?? 0) > 0) continue;
        const spec = this.specOf(name);
        const keepMs = spec === undefined ? 0 : this.options.keepAlive.keepMs(spec);
        if (now - replica.lastUsedAt >= keepMs) this.unload(engine, name);
      }
    }
  }

  /** Unloads replicas that exceed the quota, run on a leaving engine or no longer match the tenant's document. */
  private unloadSurplus(): void {
    for (const engine of this.engines.values()) {
      if (!engine.sealed) continue;
      for (const [name, replica] of engine.replicas) {
        if (replica.state === 'unloading') continue;
        const isSurplus = this.countNotUnloading(name) > this.replicaLimit(name);
        // A leaving engine finishes its running requests. Its replicas are unloaded so that other
        // engines can load them before it shuts down.
        const mustUnload = isSurplus || engine.leaving || this.isOutdated(replica);
        if (mustUnload) this.unload(engine, name);
      }
    }
  }

  /** Acknowledges each quota that this pool has shrunk to, once per quota version. */
  private acknowledgeShrinks(): void {
    for (const name of this.shrinking) {
      const tenant = this.tenants.get(name);
      if (tenant?.shrinkTarget === undefined) continue;
      if (this.countReplicas(name) > tenant.shrinkTarget) continue;
      if (this.acknowledged.get(name) === tenant.quotaVersion) continue;
      this.acknowledged.set(name, tenant.quotaVersion);
      const { quotaVersion } = tenant;
      this.effects.push({ type: 'acknowledge_shrink', tenant: name, quotaVersion });
    }
  }

  /** Allows a failed acknowledgement to be retried. */
  retryAcknowledgement(tenant: string): void {
    this.acknowledged.delete(tenant);
  }

  private specOf(name: string): TenantSpec | undefined {
    return this.tenants.get(name)?.spec;
  }

  private replicaLimit(name: string): number {
    return this.tenants.get(name)?.replicaLimit ?? 0;
  }

  /** Number of a tenant's replicas that are not unloading. */
  private countNotUnloading(name: string): number {
    let count = 0;
    for (const engine of this.engines.values()) {
      const replica = engine.replicas.get(name);
      if (replica !== undefined && replica.state !== 'unloading') count += 1;
    }
    return count;
  }

  /** Whether the replica's model, version, slots or adapters differ from the tenant's current document. */
  private isOutdated(replica: CountedReplica): boolean {
    const spec = this.specOf(replica.spec.tenant);
    return spec === undefined || !sameReplica(replicaSpecOf(spec), replica.spec);
  }

  private startLoads(now: number): void {
    for (const name of this.tenantsNeedingReplica(now)) this.startLoad(name, now);
  }

  /** Tenants that need another replica, most urgent first unless the load order is `arrival`. */
  private tenantsNeedingReplica(now: number): string[] {
    const tenants = [...this.demands.entries()]
      .filter(([name, demand]) => this.needsReplica(name, demand, now))
      .map(([name, demand]) => ({
        name,
        priority: demand.priority(now),
        deadline: demand.deadline(now),
      }));
    if (this.options.loadOrder !== 'arrival') {
      tenants.sort((a, b) => a.priority - b.priority || a.deadline - b.deadline);
    }
    return tenants.map((entry) => entry.name);
  }

  private needsReplica(name: string, demand: TenantDemand, now: number): boolean {
    const spec = this.specOf(name);
    if (spec === undefined || demand.waiting(now) === 0) return false;
    if ((this.failures.get(name)?.until ?? 0) > now) return false;
    const desired = Math.ceil(demand.waitingAndInFlight(now) / spec.slots);
    const limit = this.replicaLimit(name);
    if (this.countUsable(name) >= Math.min(desired, limit)) return false;
    return this.countReplicas(name) < limit;
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
      (engine) =>
        engine.takesLoads() && !engine.replicas.has(name) && this.mayStartLoad(engine, spec),
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

  /** Whether a load may start now; loads from the weight store wait while the pool's share of its speed is in use. */
  private mayStartLoad(engine: EngineLedger, spec: ReplicaSpec): boolean {
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
    const isMoreUrgent = spec !== undefined && priorityNumber(spec.priority) < urgency;
    if (keepsForever || isMoreUrgent) return false;
    return now - replica.lastUsedAt >= EVICTION_GRACE_MS;
  }

  private pushLocations(now: number): void {
    for (const name of this.dirtyTenants) {
      const demand = this.demands.get(name);
      if (demand === undefined) continue;
      const location = this.locator.locate(name, demand, now);
      this.effects.push(...this.publisher.publish(location, demand.subscribers()));
    }
    this.dirtyTenants.clear();
  }
}
