/**
 * Twenty seconds of recorded requests to 63 backends, each with memory for three models: three
 * kinds of requests, 45 busy models and 236 rare ones. The placement of the weights is random.
 */
import { readFileSync } from 'node:fs';
import type { ModelHostSpec } from '../../../src/core/service-configuration.js';
import type { RequestClass, RecordedCaller, ReplaySite } from './site-replay.js';

const BACKENDS = 63;
const MODELS_PER_BACKEND = 3;
const MODELS = 302;
/**
 * One in this many rare models is on no disk, so that it can only be loaded from the weight store.
 */
const NOT_ON_DISK_INTERVAL = 14;

/** Urgent and short requests, expensive requests with a long goal, and requests in between. */
export const KINDS: readonly RequestClass[] = [
  { name: 'urgent', goalMs: 400, deadlineMs: 12_000 },
  { name: 'patient', goalMs: 4_000, deadlineMs: 20_000 },
  { name: 'short', goalMs: 1_200, deadlineMs: 4_000 },
];

const names = Array.from({ length: MODELS }, (_, index) => `m${index}`);

/** Each backend has memory for three models of 72.7 GB. */
export const RECORDED_HOST: ModelHostSpec = {
  slots: 16,
  cacheTokens: 54_000,
  megabytes: 230_000,
  adapterSlots: 8,
  loadsPerSecond: 2,
  models: names.map((name) => ({
    name,
    megabytes: 72_700,
    adapters: 0,
    adapterMegabytes: 66,
    storeLoadSeconds: 10.2,
    diskLoadSeconds: 0.61,
    memoryLoadSeconds: 0.47,
  })),
};

/**
 * Reads the recorded requests; models are numbered by how often they were requested, most often
 * first.
 */
export function recordedCallers(): RecordedCaller[] {
  const text = readFileSync(new URL('./recorded-demand.txt', import.meta.url), 'utf8');
  return text
    .split('\n')
    .flatMap((line, tenthOfSecond) =>
      line
        .split(' ')
        .filter((entry) => entry !== '')
        .map((entry) => {
          const [ms = 0, kind = 0, model = 0, runMs = 0] = entry.split(',').map(Number);
          return {
            at: tenthOfSecond * 100 + ms,
            kind: kindOf(kind),
            model: names[model] ?? '',
            runMs,
          };
        }),
    )
    .sort((a, b) => a.at - b.at);
}

function kindOf(index: number): RequestClass {
  const kind = KINDS[index];
  if (kind === undefined) throw new Error(`unknown kind ${index}`);
  return kind;
}

/**
 * Creates a seeded site with the busiest models at several backends and the others at one while
 * memory is free.
 */
export function recordedSite(seed: number, size = BACKENDS): ReplaySite {
  const random = randomOf(seed);
  const held = Array.from({ length: size }, () => new Set<string>());
  const onDisk = Array.from({ length: size }, () => new Set<string>());
  const loadAtRandomBackend = (model: string): void => {
    const free = held.filter((models) => models.size < MODELS_PER_BACKEND && !models.has(model));
    free[Math.floor(random() * free.length)]?.add(model);
  };
  names.forEach((model, rank) => {
    const copies = rank < 4 ? 4 : rank < 18 ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) loadAtRandomBackend(model);
  });
  held.forEach((models, index) => models.forEach((model) => onDisk[index]?.add(model)));
  names.forEach((model, rank) => {
    if (rank > 40 && rank % NOT_ON_DISK_INTERVAL === 0) return;
    for (let copy = 0; copy < 2; copy++) onDisk[Math.floor(random() * size)]?.add(model);
  });
  const backends = held.map((models, index) => ({
    held: [...models],
    onDisk: [...(onDisk[index] ?? [])],
  }));
  const copies = { diskModels: 11, memoryModels: 2 };
  return {
    host: RECORDED_HOST,
    backends,
    loadFactor: 1.18,
    storeLoads: 2,
    leadMs: 14_000,
    ...copies,
  };
}

function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
