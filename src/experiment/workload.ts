/**
 * Seeded workloads of one day, at the sizes of the users' brief. Most tenants
 * idle most of the day; sessions begin with a burst at several routers at once.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { PriorityClass } from '../core/documents.js';
import type { WeightStoreLimits } from '../weight-store/transfer-model.js';

const HOUR_MS = 3_600_000;
/** Length of the simulated time: one day. */
export const DAY_MS = 24 * HOUR_MS;
const GIGABYTE = 1e9;

/** A tenant of a workload. */
export interface WorkloadTenant {
  readonly name: string;
  readonly model: string;
  readonly modelBytes: number;
  readonly adapterBytes: number;
  readonly priority: PriorityClass;
  /** Milliseconds. */
  readonly deadlineMs: number;
}

/** One request of the day. Times are milliseconds from its start. */
export interface Arrival {
  readonly at: number;
  readonly tenant: number;
  readonly router: number;
  readonly serviceMs: number;
}

/** A day of work on given machines. */
export interface Workload {
  readonly name: string;
  readonly zones: number;
  readonly routersPerZone: number;
  readonly enginesPerZone: number;
  readonly engineBytes: number;
  readonly weightStore: WeightStoreLimits;
  readonly tenants: readonly WorkloadTenant[];
  /** In order of time. */
  readonly arrivals: readonly Arrival[];
  /** Idle seconds that one avoided cold start is worth to these users, by class. */
  readonly worthSeconds: Readonly<Record<PriorityClass, number>>;
}

/** How one kind of tenant behaves. */
interface TenantKind {
  readonly kind: string;
  readonly count: number;
  readonly priority: PriorityClass;
  readonly deadlineMs: number;
  /** Sessions an hour of each tenant, by hour of the day. */
  readonly sessionsAt: (hour: number) => number;
  readonly requestsPerSession: number;
  /** Mean milliseconds between two requests of a session. */
  readonly gapMs: number;
  /** Routers at which a session's first requests arrive at once. */
  readonly burst: number;
  readonly serviceMs: number;
}

interface WorkloadShape {
  readonly name: string;
  readonly zones: number;
  readonly enginesPerZone: number;
  readonly models: number;
  readonly weightStore: WeightStoreLimits;
  readonly kinds: readonly TenantKind[];
  readonly worthSeconds: Readonly<Record<PriorityClass, number>>;
}

const ROUTERS_PER_ZONE = 3;
const ENGINE_BYTES = 160 * GIGABYTE;
const STORE_SPEED = 2.5 * GIGABYTE;

function isDaytime(hour: number): boolean {
  return hour >= 8 && hour < 18;
}

/** Shifts change at 6, 14 and 22 o'clock: confirmations come in the hour around it. */
function isHandover(hour: number): boolean {
  return [5, 6, 13, 14, 21, 22].includes(hour);
}

const ATLAS: WorkloadShape = {
  name: 'atlas',
  zones: 3,
  enginesPerZone: 3,
  models: 50,
  weightStore: { loadsPerSecond: 2, fullSpeedLoads: 8, bytesPerSecond: STORE_SPEED },
  worthSeconds: { live: 600, interactive: 120, batch: 10 },
  kinds: [
    {
      kind: 'shift',
      count: 20,
      priority: 'live',
      deadlineMs: 30_000,
      sessionsAt: (hour) => (isHandover(hour) ? 6 : 0.7),
      requestsPerSession: 5,
      gapMs: 15_000,
      burst: 4,
      serviceMs: 1_500,
    },
    {
      kind: 'roster',
      count: 25,
      priority: 'interactive',
      deadlineMs: 60_000,
      sessionsAt: (hour) => (isDaytime(hour) ? 0.8 : 0.05),
      requestsPerSession: 6,
      gapMs: 60_000,
      burst: 2,
      serviceMs: 8_000,
    },
    {
      kind: 'overnight',
      count: 15,
      priority: 'batch',
      deadlineMs: 4 * HOUR_MS,
      sessionsAt: (hour) => (hour >= 0 && hour < 4 ? 0.4 : 0),
      requestsPerSession: 20,
      gapMs: 5_000,
      burst: 3,
      serviceMs: 20_000,
    },
  ],
};

const WALLET: WorkloadShape = {
  name: 'wallet',
  zones: 4,
  enginesPerZone: 3,
  models: 65,
  weightStore: { loadsPerSecond: 3, fullSpeedLoads: 11, bytesPerSecond: STORE_SPEED },
  worthSeconds: { live: 1_800, interactive: 300, batch: 30 },
  kinds: [
    {
      kind: 'till',
      count: 25,
      priority: 'live',
      deadlineMs: 20_000,
      // Pay day: an hour in the morning brings most.
      sessionsAt: (hour) => (hour === 9 ? 10 : hour >= 8 && hour < 21 ? 2 : 0.1),
      requestsPerSession: 4,
      gapMs: 20_000,
      burst: 3,
      serviceMs: 1_000,
    },
    {
      kind: 'caseworker',
      count: 40,
      priority: 'interactive',
      deadlineMs: 60_000,
      sessionsAt: (hour) => (isDaytime(hour) ? 0.6 : 0.02),
      requestsPerSession: 8,
      gapMs: 90_000,
      burst: 1,
      serviceMs: 10_000,
    },
    {
      kind: 'letters',
      count: 15,
      priority: 'batch',
      deadlineMs: HOUR_MS,
      sessionsAt: (hour) => (hour >= 18 && hour < 22 ? 0.3 : 0.02),
      requestsPerSession: 15,
      gapMs: 8_000,
      burst: 2,
      serviceMs: 15_000,
    },
  ],
};

const SHAPES = [ATLAS, WALLET] as const;

/** Names of the workloads. */
export const WORKLOAD_NAMES = SHAPES.map((shape) => shape.name);

/** Numbers from 0 to 1 out of a seed. */
function seededFractions(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function exponential(random: () => number, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

function makeTenants(shape: WorkloadShape, random: () => number): WorkloadTenant[] {
  const sizes = Array.from({ length: shape.models }, () => (8 + random() * 24) * GIGABYTE);
  const tenants: WorkloadTenant[] = [];
  for (const kind of shape.kinds) {
    for (let index = 0; index < kind.count; index++) {
      const model = tenants.length % shape.models;
      tenants.push({
        name: `${kind.kind}-${index}`,
        model: `model-${model}`,
        modelBytes: sizes[model] ?? 10 * GIGABYTE,
        adapterBytes: 0.2 * GIGABYTE,
        priority: kind.priority,
        deadlineMs: kind.deadlineMs,
      });
    }
  }
  return tenants;
}

function addSession(
  arrivals: Arrival[],
  tenant: number,
  start: number,
  kind: TenantKind,
  routers: number,
  random: () => number,
): void {
  const serviceMs = (): number => kind.serviceMs * (0.5 + random());
  const first = Math.floor(random() * routers);
  for (let index = 0; index < kind.burst; index++) {
    const router = (first + index) % routers;
    arrivals.push({ at: start + random() * 200, tenant, router, serviceMs: serviceMs() });
  }
  let at = start;
  for (let index = kind.burst; index < kind.requestsPerSession; index++) {
    at += exponential(random, kind.gapMs);
    if (at >= DAY_MS) return;
    const router = Math.floor(random() * routers);
    arrivals.push({ at, tenant, router, serviceMs: serviceMs() });
  }
}

function addTenantDay(
  arrivals: Arrival[],
  tenant: number,
  kind: TenantKind,
  routers: number,
  random: () => number,
): void {
  let at = 0;
  while (at < DAY_MS) {
    const hour = Math.floor(at / HOUR_MS);
    const rate = kind.sessionsAt(hour);
    const wait = rate > 0 ? exponential(random, HOUR_MS / rate) : Infinity;
    const hourEnd = (hour + 1) * HOUR_MS;
    // The rate changes with the hour; an exponential wait may be drawn anew there.
    if (at + wait >= hourEnd) {
      at = hourEnd;
      continue;
    }
    at += wait;
    addSession(arrivals, tenant, at, kind, routers, random);
  }
}

/** Makes the day of a workload from a seed. */
export function makeWorkload(name: string, seed: number): Workload | undefined {
  const shape = SHAPES.find((candidate) => candidate.name === name);
  if (shape === undefined) return undefined;
  const random = seededFractions(seed);
  const tenants = makeTenants(shape, random);
  const routers = shape.zones * ROUTERS_PER_ZONE;
  const arrivals: Arrival[] = [];
  let tenant = 0;
  for (const kind of shape.kinds) {
    for (let index = 0; index < kind.count; index++) {
      addTenantDay(arrivals, tenant, kind, routers, random);
      tenant += 1;
    }
  }
  arrivals.sort((a, b) => a.at - b.at);
  return {
    name,
    zones: shape.zones,
    routersPerZone: ROUTERS_PER_ZONE,
    enginesPerZone: shape.enginesPerZone,
    engineBytes: ENGINE_BYTES,
    weightStore: shape.weightStore,
    tenants,
    arrivals,
    worthSeconds: shape.worthSeconds,
  };
}
