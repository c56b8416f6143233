/**
 * A discrete-event model of one day: the shipped owners (`PoolOwner`) decide,
 * before simulated engines, caches and weight store. Routers are reduced to
 * their wakes, their queues by priority and deadline, and the choice of a replica.
 */
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import TinyQueue from 'tinyqueue';
import { rankCandidates } from '../common/rendezvous.js';
import { priorityNumber, type PriorityClass, type TenantSpec } from '../core/documents.js';
import type { KeepAlivePolicy } from '../core/keep-alive.js';
import type { PlacementPolicy } from '../core/placement.js';
import type { PoolEffect, PoolEvent } from '../core/pool-messages.js';
import { PoolOwner } from '../core/pool-owner.js';
import { RequestQueue, type Queued } from '../core/request-queue.js';
import type { CheckpointTier } from '../engines/engine-client.js';
import { TransferModel } from '../weight-store/transfer-model.js';
import { SimulatedEngine, type SimulatedReplica } from './simulated-engine.js';
import { DAY_MS, type Arrival, type Workload } from './workload.js';

/** Milliseconds of every load besides the transfer. */
export const LOAD_OVERHEAD_MS = 800;
/** Bytes a second from a machine's memory and disk. */
const MEMORY_SPEED = 20e9;
const DISK_SPEED = 5e9;
/** Milliseconds between two looks of an owner at idle replicas. */
const TICK_MS = 5_000;
/** Milliseconds of an order, a report or a wake on the way. */
const HOP_MS = 2;
const SLOTS = 8;
/** Milliseconds between two wakes while requests wait. */
const WAKE_PERIOD_MS = 500;

/** How the day is decided. */
export interface SimulationPolicy {
  readonly name: string;
  readonly keepAlive: KeepAlivePolicy;
  readonly placement: PlacementPolicy;
  readonly loadOrder: 'urgency' | 'arrival';
  /** Whether the weight store's loads at once are divided over pools, or shared. */
  readonly storeShare: 'divided' | 'shared';
  /** What tenants' settings say of keep-alive. */
  readonly setting: TenantSpec['keepAlive'];
}

/** What a day has cost. */
export interface DayResult {
  readonly policy: string;
  readonly requests: number;
  readonly coldRequests: number;
  readonly refused: number;
  readonly loads: Readonly<Record<CheckpointTier, number>>;
  /** Replica hours that were loaded without a request. */
  readonly idleHours: number;
  /** Microseconds from arrival to a loaded replica, all requests (0 when warm). */
  readonly startDelay: Histogram;
  /** The same for requests that found no loaded replica, by class. */
  readonly coldStart: Readonly<Record<PriorityClass, Histogram>>;
  /** Most remote transfers at once: over the store's full speed they slow one another. */
  readonly mostTransfers: number;
}

interface WaitingRequest extends Queued {
  readonly arrival: Arrival;
  readonly cold: boolean;
}

interface Timed {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

interface SimulatedPool {
  readonly name: string;
  readonly owner: PoolOwner;
  readonly engines: Map<string, SimulatedEngine>;
}

interface SimulatedTenant {
  readonly spec: TenantSpec;
  readonly pool: SimulatedPool;
  readonly queue: RequestQueue<WaitingRequest>;
  wakePending: boolean;
}

function newHistogram(): Histogram {
  return buildHistogram({
    highestTrackableValue: 2 * 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** Runs a day. */
export class Simulation {
  private readonly events = new TinyQueue<Timed>([], (a, b) => a.at - b.at || a.order - b.order);
  private readonly pools: SimulatedPool[] = [];
  private readonly tenants: SimulatedTenant[] = [];
  private readonly store: TransferModel;
  private readonly transfers = new Map<number, () => void>();
  private readonly startDelay = newHistogram();
  private readonly coldStart = {
    live: newHistogram(),
    interactive: newHistogram(),
    batch: newHistogram(),
  };
  private readonly loads = { resident: 0, memory: 0, disk: 0, remote: 0 };
  private now = 0;
  private order = 0;
  private idleMs = 0;
  private coldRequests = 0;
  private refused = 0;
  private nextTransfer = 0;
  private mostTransfers = 0;
  private storeTimer = 0;

  constructor(
    private readonly workload: Workload,
    private readonly policy: SimulationPolicy,
  ) {
    this.store = new TransferModel(workload.weightStore, 0);
    for (let zone = 0; zone < workload.zones; zone++) this.pools.push(this.makePool(zone));
    workload.tenants.forEach((_, index) => this.tenants.push(this.makeTenant(index)));
    for (const pool of this.pools) this.perform(pool, pool.owner.start());
  }

  /** Milliseconds of the simulation, for policies that look ahead. */
  get time(): number {
    return this.now;
  }

  /** Runs the day to its end. */
  run(): DayResult {
    for (const arrival of this.workload.arrivals) this.at(arrival.at, () => this.arrive(arrival));
    for (const pool of this.pools) this.tick(pool);
    for (let next = this.events.pop(); next !== undefined; next = this.events.pop()) {
      if (next.at > DAY_MS) break;
      this.now = next.at;
      next.run();
    }
    this.now = DAY_MS;
    for (const pool of this.pools) {
      for (const engine of pool.engines.values()) {
        for (const replica of engine.replicas.values()) this.countIdle(replica);
      }
    }
    return {
      policy: this.policy.name,
      requests: this.workload.arrivals.length,
      coldRequests: this.coldRequests,
      refused: this.refused,
      loads: this.loads,
      idleHours: this.idleMs / 3_600_000,
      startDelay: this.startDelay,
      coldStart: this.coldStart,
      mostTransfers: this.mostTransfers,
    };
  }

  private at(time: number, run: () => void): void {
    this.order += 1;
    this.events.push({ at: time, order: this.order, run });
  }

  private makePool(zone: number): SimulatedPool {
    const { enginesPerZone, engineBytes, weightStore, zones } = this.workload;
    const name = `pool-${zone}`;
    const engines = new Map<string, SimulatedEngine>();
    for (let index = 0; index < enginesPerZone; index++) {
      const address = `engine-${zone}-${index}`;
      engines.set(address, new SimulatedEngine(address, engineBytes));
    }
    const { fullSpeedLoads } = weightStore;
    const divided = Math.max(1, Math.floor(fullSpeedLoads / zones));
    const owner = new PoolOwner({
      pool: name,
      epoch: 1,
      engines: [...engines.keys()].map((address) => ({ address, incarnation: address })),
      placement: this.policy.placement,
      keepAlive: this.policy.keepAlive,
      remoteLoads: this.policy.storeShare === 'divided' ? divided : fullSpeedLoads,
      loadOrder: this.policy.loadOrder,
    });
    return { name, owner, engines };
  }

  private makeTenant(index: number): SimulatedTenant {
    const tenant = this.workload.tenants[index];
    if (tenant === undefined) throw new Error('a tenant of the workload');
    const names = this.pools.map((pool) => pool.name);
    const home = rankCandidates(tenant.name, names)[0];
    const pool = this.pools.find((candidate) => candidate.name === home) ?? this.pools[0];
    if (pool === undefined) throw new Error('a workload has zones');
    const spec: TenantSpec = {
      name: tenant.name,
      model: tenant.model,
      version: '1',
      modelBytes: tenant.modelBytes,
      adapters: [{ name: tenant.name, bytes: tenant.adapterBytes }],
      slots: SLOTS,
      maxReplicas: 1,
      priority: tenant.priority,
      deadlineMs: tenant.deadlineMs,
      limits: { inFlight: 1_000, requestsPerSecond: 1_000, queue: 1_000 },
      keepAlive: this.policy.setting,
      sites: [],
      keyHashes: [],
    };
    const pooled = { spec, allowed: 1, quotaVersion: 1 };
    pool.owner.handle({ type: 'tenant_changed', name: tenant.name, tenant: pooled }, 0);
    return { spec, pool, queue: new RequestQueue(), wakePending: false };
  }

  private arrive(arrival: Arrival): void {
    const tenant = this.tenants[arrival.tenant];
    if (tenant === undefined) return;
    const cold = this.loadedReplica(tenant) === undefined;
    const priority = priorityNumber(tenant.spec.priority);
    const deadline = this.now + tenant.spec.deadlineMs;
    tenant.queue.push({ id: `${this.order}-${arrival.at}`, priority, deadline, arrival, cold });
    this.serve(tenant);
    this.wakeIfWaiting(tenant);
  }

  private loadedReplica(tenant: SimulatedTenant): SimulatedReplica | undefined {
    for (const engine of tenant.pool.engines.values()) {
      const replica = engine.replicas.get(tenant.spec.name);
      if (replica?.state === 'loaded') return replica;
    }
    return undefined;
  }

  private serve(tenant: SimulatedTenant): void {
    const replica = this.loadedReplica(tenant);
    while (replica !== undefined && replica.inFlight < SLOTS) {
      const request = tenant.queue.shift();
      if (request === undefined) return;
      if (request.deadline < this.now) {
        this.refused += 1;
        continue;
      }
      this.startRequest(tenant, replica, request);
    }
  }

  private startRequest(
    tenant: SimulatedTenant,
    replica: SimulatedReplica,
    request: WaitingRequest,
  ): void {
    const waitedMicroseconds = Math.round((this.now - request.arrival.at) * 1000);
    this.startDelay.recordValue(request.cold ? Math.max(0, waitedMicroseconds) : 0);
    if (request.cold) {
      this.coldRequests += 1;
      this.coldStart[tenant.spec.priority].recordValue(Math.max(0, waitedMicroseconds));
    }
    this.countIdle(replica);
    replica.idleSince = undefined;
    replica.inFlight += 1;
    if (replica.inFlight === 1) this.reportSoon(tenant.pool);
    this.at(this.now + request.arrival.serviceMs, () => this.endRequest(tenant, replica));
  }

  private endRequest(tenant: SimulatedTenant, replica: SimulatedReplica): void {
    replica.inFlight -= 1;
    if (replica.inFlight === 0) {
      replica.idleSince = this.now;
      this.reportSoon(tenant.pool);
    }
    for (const engine of tenant.pool.engines.values()) {
      if (engine.replicas.get(tenant.spec.name) !== replica) continue;
      if (engine.releaseIfDrained(replica)) this.reportSoon(tenant.pool);
    }
    this.serve(tenant);
  }

  private countIdle(replica: SimulatedReplica): void {
    if (replica.idleSince !== undefined) this.idleMs += this.now - replica.idleSince;
  }

  /** One wake for all routers, repeated while requests wait. */
  private wakeIfWaiting(tenant: SimulatedTenant): void {
    if (tenant.queue.size === 0 || tenant.wakePending) return;
    tenant.wakePending = true;
    const wake = {
      router: 'routers',
      tenant: tenant.spec.name,
      priority: tenant.queue.peek()?.priority ?? 0,
      deadline: tenant.queue.earliestDeadline(),
      waiting: tenant.queue.size,
      inFlight: 0,
    };
    this.at(this.now + HOP_MS, () => this.handle(tenant.pool, { type: 'wake', wake }));
    this.at(this.now + WAKE_PERIOD_MS, () => {
      tenant.wakePending = false;
      this.dropLate(tenant);
      this.wakeIfWaiting(tenant);
    });
  }

  private dropLate(tenant: SimulatedTenant): void {
    for (const request of tenant.queue.items()) {
      if (request.deadline >= this.now) continue;
      tenant.queue.remove(request.id);
      this.refused += 1;
    }
  }

  private tick(pool: SimulatedPool): void {
    this.handle(pool, { type: 'tick' });
    this.at(this.now + TICK_MS, () => this.tick(pool));
  }

  private handle(pool: SimulatedPool, event: PoolEvent): void {
    this.perform(pool, pool.owner.handle(event, this.now));
  }

  private perform(pool: SimulatedPool, effects: readonly PoolEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send_order') {
        this.at(this.now + HOP_MS, () => this.takeOrder(pool, effect));
      }
    }
  }

  private takeOrder(pool: SimulatedPool, sent: Extract<PoolEffect, { type: 'send_order' }>): void {
    const engine = pool.engines.get(sent.engine);
    if (engine === undefined) return;
    const outcome = engine.take(sent.fence, sent.order);
    if (outcome.type === 'load') this.startLoad(pool, engine, outcome.replica, outcome.tier);
    if (outcome.type === 'released') this.countIdle(outcome.replica);
    const report = engine.report(this.now);
    const answer = { accepted: true, report } as const;
    const event = {
      type: 'order_answered',
      engine: sent.engine,
      fence: sent.fence,
      answer,
    } as const;
    this.at(this.now + HOP_MS, () => this.handle(pool, event));
  }

  private startLoad(
    pool: SimulatedPool,
    engine: SimulatedEngine,
    replica: SimulatedReplica,
    tier: CheckpointTier,
  ): void {
    this.loads[tier] += 1;
    const { spec } = replica;
    const adapterBytes = spec.adapters.reduce((sum, adapter) => sum + adapter.bytes, 0);
    const finish = (milliseconds: number): void => {
      this.at(this.now + milliseconds, () => this.finishLoad(pool, engine, replica));
    };
    const fromMemory = (adapterBytes / MEMORY_SPEED) * 1000;
    if (tier === 'remote') {
      this.fetch(spec.modelBytes, () => finish(LOAD_OVERHEAD_MS + fromMemory));
      return;
    }
    const bytes = (tier === 'resident' ? 0 : spec.modelBytes) + adapterBytes;
    const speed = tier === 'disk' ? DISK_SPEED : MEMORY_SPEED;
    finish(LOAD_OVERHEAD_MS + (bytes / speed) * 1000);
  }

  private fetch(bytes: number, done: () => void): void {
    const id = this.nextTransfer;
    this.nextTransfer += 1;
    this.transfers.set(id, done);
    this.advanceStore();
    this.store.add(id, bytes, this.now);
    this.mostTransfers = Math.max(this.mostTransfers, this.store.size);
    this.scheduleStore();
  }

  private advanceStore(): void {
    for (const id of this.store.advance(this.now)) {
      this.transfers.get(id)?.();
      this.transfers.delete(id);
    }
  }

  private scheduleStore(): void {
    const next = this.store.nextChange();
    if (next === undefined) return;
    this.storeTimer += 1;
    const timer = this.storeTimer;
    this.at(Math.max(this.now + 1, next), () => {
      // A later change has set a timer of its own.
      if (timer !== this.storeTimer) return;
      this.advanceStore();
      this.scheduleStore();
    });
  }

  private finishLoad(
    pool: SimulatedPool,
    engine: SimulatedEngine,
    replica: SimulatedReplica,
  ): void {
    if (engine.replicas.get(replica.spec.tenant) !== replica) return;
    if (replica.state !== 'loading') {
      engine.releaseIfDrained(replica);
      return this.reportSoon(pool);
    }
    engine.finishLoad(replica, this.now);
    this.reportSoon(pool);
    const tenant = this.tenants.find((candidate) => candidate.spec.name === replica.spec.tenant);
    if (tenant !== undefined) this.at(this.now + HOP_MS, () => this.serve(tenant));
  }

  private reportSoon(pool: SimulatedPool): void {
    this.at(this.now + HOP_MS, () => {
      for (const [address, engine] of pool.engines) {
        this.handle(pool, { type: 'report', engine: address, report: engine.report(this.now) });
      }
    });
  }
}
