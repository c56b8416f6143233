/** Tenants of a soak: whose keys its callers have, which are taken away, and what may be asked for. */
import type { SeededRandom } from './seeded-random.js';

/** The one tenant with a limit. */
export const LIMITED_TENANT = 'limited';
/** Tenants whose keys stay. */
export const STEADY_TENANT = 'steady';
/** Each configuration gives this one a new key, and takes an old one away. */
export const ROTATING_TENANT = 'rotating';

/** The bounds that gateways are started with, and that the auditor holds them to. */
export const REVOCATION_MS = 3_000;
export const LIMIT_WINDOW_MS = 4_000;
export const LIMIT_EXCESS = 0.1;
export const LIMIT_SLACK = 400;
const LIMIT_PER_SECOND = 400;
const LIMIT_BURST = 400;
/** Units of each request of the limited tenant. */
export const UNITS = 100;
/** Keys of the rotating tenant that are valid at a time. */
const ROTATING_KEYS = 2;
/** Keys that its callers still try. */
const TRIED_KEYS = 4;
/** The limited tenant asks for many times its limit by turns. */
const HOT_PERIOD_MS = 6_000;
/** From the begin of one hot time to the next. */
export const HOT_TURNS_MS = 2 * HOT_PERIOD_MS;

/** A caller's tenant and key. */
export interface Caller {
  readonly tenant: string;
  readonly key: string;
}

/** Units of the limited tenant that may run in a window. */
export function unitsAllowed(): number {
  const plain = (LIMIT_PER_SECOND * LIMIT_WINDOW_MS) / 1_000 + LIMIT_BURST;
  return plain * (1 + LIMIT_EXCESS) + LIMIT_SLACK;
}

/** Tenants of a version of the configuration, as the platform publishes them. */
export function tenantsOf(version: number): Record<string, unknown>[] {
  const rotating = Array.from({ length: ROTATING_KEYS }, (_, back) => rotatingKey(version - back));
  const limit = { unit: 'tokens', plainTokens: UNITS };
  return [
    { name: STEADY_TENANT, apiKeys: [`${STEADY_TENANT}-key`], priority: 1 },
    {
      name: LIMITED_TENANT,
      apiKeys: [`${LIMITED_TENANT}-key`],
      ratePerS: LIMIT_PER_SECOND,
      burst: LIMIT_BURST,
      ...limit,
    },
    { name: ROTATING_TENANT, apiKeys: rotating },
  ];
}

/** The version whose configuration takes a key away; undefined if none does. */
export function removedBy({ tenant, key }: Caller): number | undefined {
  if (tenant !== ROTATING_TENANT) return undefined;
  return Number(key.slice(ROTATING_TENANT.length + 1)) + ROTATING_KEYS;
}

/** Whether the limited tenant asks for many times its limit at a time, in Unix milliseconds. */
export function isHotByTurns(now: number): boolean {
  return Math.floor(now / HOT_PERIOD_MS) % 2 === 1;
}

/** Draws a caller. */
export function drawCaller(random: SeededRandom, version: number, isHot: boolean): Caller {
  const draw = random.between(0, 1);
  if (draw < (isHot ? 0.5 : 0.08)) return { tenant: LIMITED_TENANT, key: `${LIMITED_TENANT}-key` };
  if (draw < 0.8) return { tenant: STEADY_TENANT, key: `${STEADY_TENANT}-key` };
  const back = Math.floor(random.between(0, TRIED_KEYS));
  return { tenant: ROTATING_TENANT, key: rotatingKey(version - back) };
}

function rotatingKey(version: number): string {
  return `${ROTATING_TENANT}-${version}`;
}
