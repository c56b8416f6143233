/** Tenants of a soak test: their API keys, key rotation and rate limits. */
import type { SeededRandom } from './seeded-random.js';

/** The only tenant with a rate limit. */
export const LIMITED_TENANT = 'limited';
/** The tenant whose key stays valid. */
export const STEADY_TENANT = 'steady';
/** Each configuration version adds a key for this tenant and revokes its oldest key. */
export const ROTATING_TENANT = 'rotating';

/** Bounds that are set in the gateway settings and verified by the audit. */
export const REVOCATION_MS = 3_000;
export const LIMIT_WINDOW_MS = 4_000;
export const LIMIT_EXCESS = 0.1;
export const LIMIT_SLACK = 400;
const LIMIT_PER_SECOND = 400;
const LIMIT_BURST = 400;
/** Units (tokens) that each request of the limited tenant costs. */
export const UNITS_PER_REQUEST = 100;
/** Number of keys of the rotating tenant that are valid at the same time. */
const VALID_ROTATING_KEYS = 2;
/** Number of latest keys that callers of the rotating tenant try, including revoked ones. */
const TRIED_KEYS = 4;
/** Length of the alternating periods in which the limited tenant sends far more, or less, than its limit allows. */
const HOT_PERIOD_MS = 6_000;
/** Time from the start of one hot period to the start of the next. */
export const HOT_CYCLE_MS = 2 * HOT_PERIOD_MS;

/** Tenant and API key of a caller. */
export interface Caller {
  readonly tenant: string;
  readonly key: string;
}

/** A caller of the tenant whose key always counts. */
export const STEADY_CALLER: Caller = { tenant: STEADY_TENANT, key: `${STEADY_TENANT}-key` };

/** Returns the maximum number of units that the limited tenant may use in one window. */
export function maxUnitsPerWindow(): number {
  const plain = (LIMIT_PER_SECOND * LIMIT_WINDOW_MS) / 1_000 + LIMIT_BURST;
  return plain * (1 + LIMIT_EXCESS) + LIMIT_SLACK;
}

/** Returns the tenants of a configuration version in the format that the platform publishes. */
export function tenantsOf(version: number): Record<string, unknown>[] {
  const rotating = Array.from({ length: VALID_ROTATING_KEYS }, (_, back) =>
    rotatingKey(version - back),
  );
  const limit = { unit: 'tokens', plainTokens: UNITS_PER_REQUEST };
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

/** Returns the configuration version that revokes a key, or undefined if the key is never revoked. */
export function revokingVersion({ tenant, key }: Caller): number | undefined {
  if (tenant !== ROTATING_TENANT) return undefined;
  return Number(key.slice(ROTATING_TENANT.length + 1)) + VALID_ROTATING_KEYS;
}

/** Returns whether the limited tenant is in a hot period, far above its limit, at a time in Unix milliseconds. */
export function isInHotPeriod(now: number): boolean {
  return Math.floor(now / HOT_PERIOD_MS) % 2 === 1;
}

/** Draws a random caller; `isHot` raises the share of the limited tenant. */
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
