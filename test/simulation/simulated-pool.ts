/**
 * A simulated pool for property tests: production owners (`PoolOwner`) of several epochs, engines
 * that follow the published protocol, and a network that delays, duplicates and loses messages.
 * Each step is one event of the simulated history.
 */
import { FixedKeepAlive } from '../../src/core/keep-alive-fixed.js';
import { CacheAwarePlacement } from '../../src/core/placement-cache-aware.js';
import type { PoolEffect, PoolEvent, PooledTenant } from '../../src/core/pool-messages.js';
import { PoolOwner } from '../../src/core/pool-owner.js';
import { memoryOf } from '../../src/core/engine-ledger.js';
import type { TenantSpec } from '../../src/core/documents.js';
import type {
  EngineOrder,
  EngineReport,
  Holding,
  OrderReply,
  OrderFence,
  ReplicaSpec,
} from '../../src/engines/engine-client.js';

const GIGABYTE = 1e9;
const CAPACITY = 25 * GIGABYTE;
/** Names of the engines. */
export const ENGINE_NAMES = ['e0', 'e1', 'e2'] as const;
/** Names of the tenants. */
export const TENANT_NAMES = ['t0', 't1', 't2', 't3'] as const;
/** Replica limit of each tenant. */
const REPLICA_LIMITS = [1, 1, 2, 2] as const;

/** A fence that a test removes to show that the checks detect its absence. */
export type RemovedFence = 'none' | 'seal' | 'sequence' | 'registration';

interface SentOrder {
  readonly owner: number;
  readonly engine: string;
  readonly fence: OrderFence;
  readonly order: EngineOrder;
}

/** An engine that follows the protocol. */
class SimulatedEngine {
  incarnation = 'i0';
  readonly holdings = new Map<string, { replica: ReplicaSpec; state: Holding['state'] }>();
  private starts = 0;
  private epoch = 0;
  private sequence = 0;
  private number = 0;
  private last: OrderReply | undefined;

  constructor(private readonly removed: RemovedFence) {}

  restart(): void {
    this.starts += 1;
    this.incarnation = `i${this.starts}`;
    this.holdings.clear();
    this.epoch = 0;
    this.sequence = 0;
    this.number = 0;
    this.last = undefined;
  }

  take(fence: OrderFence, order: EngineOrder): OrderReply {
    const refuse = (
      refusal: 'stale_epoch' | 'wrong_incarnation' | 'stale_sequence' | 'not_sealed',
    ) => ({ accepted: false, refusal, incarnation: this.incarnation }) as const;
    if (fence.incarnation !== this.incarnation) return refuse('wrong_incarnation');
    const sealed = this.removed === 'seal';
    if (!sealed && fence.epoch < this.epoch) return refuse('stale_epoch');
    if (!sealed && fence.epoch > this.epoch && order.type !== 'seal') return refuse('not_sealed');
    if (fence.epoch === this.epoch && this.removed !== 'sequence') {
      if (fence.sequence === this.sequence) return this.last ?? refuse('stale_sequence');
      if (fence.sequence < this.sequence) return refuse('stale_sequence');
    }
    this.epoch = fence.epoch;
    this.sequence = fence.sequence;
    if (order.type === 'load' && !this.holdings.has(order.replica.tenant)) {
      this.holdings.set(order.replica.tenant, { replica: order.replica, state: 'loading' });
    }
    const held = order.type === 'unload' ? this.holdings.get(order.tenant) : undefined;
    if (held !== undefined) held.state = 'unloading';
    this.last = { accepted: true, report: this.report() };
    return this.last;
  }

  /** Completes the first load or unload in progress. */
  progress(): void {
    for (const [tenant, held] of this.holdings) {
      if (held.state === 'loading') held.state = 'loaded';
      else if (held.state === 'unloading') this.holdings.delete(tenant);
      else continue;
      return;
    }
  }

  report(): EngineReport {
    this.number += 1;
    const holdings = [...this.holdings.values()].map(({ replica, state }) => ({
      replica,
      state,
      inFlight: 0,
      idleMs: 0,
    }));
    const { incarnation, epoch, sequence, number } = this;
    const fixed = { leaving: false, capacityBytes: CAPACITY, cached: [] };
    return { incarnation, epoch, sequence, number, holdings, ...fixed };
  }
}

/** One step of a history. Numbers are taken modulo the number of existing items. */
export type Step =
  | { readonly type: 'claim'; readonly silent: number }
  | { readonly type: 'deliver'; readonly which: number; readonly keep: boolean }
  | { readonly type: 'answer'; readonly which: number; readonly keep: boolean }
  | { readonly type: 'lose'; readonly which: number }
  | { readonly type: 'wake'; readonly owner: number; readonly tenant: number }
  | {
      readonly type: 'report';
      readonly owner: number;
      readonly engine: number;
      readonly late: boolean;
    }
  | { readonly type: 'progress'; readonly engine: number }
  | { readonly type: 'restart'; readonly engine: number }
  | { readonly type: 'pass'; readonly owner: number; readonly milliseconds: number };

/** The whole simulated pool. */
export class SimulatedPool {
  private readonly engines = new Map<string, SimulatedEngine>();
  private readonly owners: PoolOwner[] = [];
  private readonly dead = new Set<number>();
  private readonly orders: SentOrder[] = [];
  private readonly answers: { readonly owner: number; readonly event: PoolEvent }[] = [];
  private readonly previousReports = new Map<string, EngineReport>();
  private record = { epoch: 0, owner: -1, incarnations: new Map<string, string>() };
  private now = 1_000_000;

  constructor(private readonly removed: RemovedFence = 'none') {
    for (const name of ENGINE_NAMES) this.engines.set(name, new SimulatedEngine(removed));
  }

  /** Performs one step. Former owners stay active, as after a pause. */
  step(step: Step): void {
    this.now += 1;
    switch (step.type) {
      case 'claim':
        return this.claim(step.silent);
      case 'deliver':
        return this.deliver(step.which, step.keep);
      case 'answer':
        return this.answer(step.which, step.keep);
      case 'lose':
        return void this.orders.splice(step.which % Math.max(1, this.orders.length), 1);
      case 'wake':
        return this.wake(step.owner, TENANT_NAMES[step.tenant % TENANT_NAMES.length] ?? 't0');
      case 'report':
        return this.report(step.owner, this.engineName(step.engine), step.late);
      case 'progress':
        return this.engine(step.engine).progress();
      case 'restart':
        return this.engine(step.engine).restart();
      case 'pass':
        this.now += step.milliseconds;
        return this.handle(step.owner, { type: 'tick' });
    }
  }

  /** Returns the invariants that are violated now. */
  violations(): string[] {
    const violations: string[] = [];
    TENANT_NAMES.forEach((tenant, index) => {
      const held = [...this.engines.values()].filter((engine) => engine.holdings.has(tenant));
      if (held.length > (REPLICA_LIMITS[index] ?? 0))
        violations.push(`${tenant} has ${held.length} replicas`);
    });
    for (const [name, engine] of this.engines) {
      const specs = [...engine.holdings.values()].map((held) => held.replica);
      if (memoryOf(specs) > CAPACITY) violations.push(`${name} is overcommitted`);
    }
    return violations;
  }

  /** Returns the number of replicas on all engines. */
  loaded(): number {
    return [...this.engines.values()].reduce((sum, engine) => sum + engine.holdings.size, 0);
  }

  private engineName(index: number): string {
    return ENGINE_NAMES[index % ENGINE_NAMES.length] ?? 'e0';
  }

  private engine(index: number): SimulatedEngine {
    return this.engineNamed(this.engineName(index));
  }

  private engineNamed(name: string): SimulatedEngine {
    const engine = this.engines.get(name);
    if (engine === undefined) throw new Error(`unknown engine ${name}`);
    return engine;
  }

  private claim(silent: number): void {
    const incarnations = new Map(this.record.incarnations);
    ENGINE_NAMES.forEach((name, index) => {
      const answers = (silent >> index) % 2 === 0;
      if (answers || !incarnations.has(name))
        incarnations.set(name, this.engineNamed(name).incarnation);
    });
    this.record = { epoch: this.record.epoch + 1, owner: this.owners.length, incarnations };
    const owner = new PoolOwner({
      pool: 'p',
      epoch: this.record.epoch,
      engines: [...incarnations].map(([address, incarnation]) => ({ address, incarnation })),
      placement: new CacheAwarePlacement(),
      keepAlive: new FixedKeepAlive(),
      remoteLoads: 8,
    });
    this.owners.push(owner);
    const index = this.owners.length - 1;
    TENANT_NAMES.forEach((name, at) => {
      const tenant = pooledTenant(name, REPLICA_LIMITS[at] ?? 0);
      this.handle(index, { type: 'tenant_changed', name, tenant });
    });
    this.perform(index, owner.start());
  }

  private deliver(which: number, keep: boolean): void {
    if (this.orders.length === 0) return;
    const index = which % this.orders.length;
    const sent = this.orders[index];
    if (sent === undefined) return;
    if (!keep) this.orders.splice(index, 1);
    const answer = this.engineNamed(sent.engine).take(sent.fence, sent.order);
    const { engine, fence } = sent;
    this.answers.push({
      owner: sent.owner,
      event: { type: 'order_answered', engine, fence, answer },
    });
    if (this.answers.length > 12) this.answers.shift();
  }

  private answer(which: number, keep: boolean): void {
    if (this.answers.length === 0) return;
    const index = which % this.answers.length;
    const found = this.answers[index];
    if (!keep) this.answers.splice(index, 1);
    if (found !== undefined) this.handle(found.owner, found.event);
  }

  private wake(owner: number, tenant: string): void {
    const wake = { router: 'r0', tenant, priority: 0, deadline: this.now + 5_000 };
    this.handle(owner, { type: 'wake', wake: { ...wake, waiting: 6, inFlight: 0 } });
  }

  private report(owner: number, engine: string, late: boolean): void {
    const fresh = this.engineNamed(engine).report();
    const report = late ? (this.previousReports.get(engine) ?? fresh) : fresh;
    this.previousReports.set(engine, fresh);
    this.handle(owner, { type: 'report', engine, report });
  }

  private handle(which: number, event: PoolEvent): void {
    if (this.owners.length === 0) return;
    const index = which % this.owners.length;
    const owner = this.owners[index];
    if (owner === undefined || this.dead.has(index)) return;
    this.perform(index, owner.handle(event, this.now));
  }

  private perform(owner: number, effects: readonly PoolEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send_order') {
        this.orders.push({ owner, ...effect });
        if (this.orders.length > 24) this.orders.shift();
      }
      if (effect.type === 'ownership_lost') this.dead.add(owner);
      if (effect.type === 'register_engine') this.register(owner, effect.engine);
    }
  }

  /** Compare-and-swap on the record: only the owner that the record names may register an engine. */
  private register(owner: number, engine: { address: string; incarnation: string }): void {
    if (this.record.owner !== owner && this.removed !== 'registration') {
      this.dead.add(owner);
      return;
    }
    this.record.incarnations.set(engine.address, engine.incarnation);
    this.handle(owner, { type: 'engine_registered', engine });
  }
}

function pooledTenant(name: string, allowed: number): PooledTenant {
  const spec: TenantSpec = {
    name,
    model: `m-${name}`,
    version: '1',
    modelBytes: 10 * GIGABYTE,
    adapters: [],
    slots: 4,
    maxReplicas: allowed,
    priority: 'live',
    deadlineMs: 5_000,
    limits: { inFlight: 100, requestsPerSecond: 100, queue: 100 },
    keepAlive: { policy: 'fixed', idleMs: 1_000 },
    sites: [],
    keyHashes: [],
  };
  return { spec, replicaLimit: allowed, quotaVersion: 1 };
}
