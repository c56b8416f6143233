/** Settings of a daemon: one YAML file and flags, checked by a schema. */
import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import { Result } from 'true-myth';
import { parse as parseYaml } from 'yaml';
import { z } from 'zod';
import { serviceError, type ServiceError } from '../common/errors.js';
import { describeIssues } from '../core/documents.js';

const ipSchema = z.string().refine((text) => isIP(text) === 4, 'expected an IPv4 number');
const portSchema = z.number().int().min(1).max(65_535);
const addressSchema = z
  .string()
  .refine((text) => /^\d+\.\d+\.\d+\.\d+:\d+$/.test(text), 'expected "ip:port"');
const hashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 in hexadecimal');

const settingsSchema = z.strictObject({
  /** Name in logs. */
  name: z.string().min(1),
  /** IP number that callers, operators and peers reach. */
  address: ipSchema,
  /** Port for callers and operators. */
  callerPort: portSchema,
  /** Port for other daemons, TCP and UDP. */
  peerPort: portSchema,
  zone: z.string().min(1),
  site: z.string().min(1),
  /** The platform's service. */
  platform: addressSchema,
  /** Peer addresses to start from, besides the platform's list. */
  seeds: z.array(addressSchema).default([]),
  /** SHA-256 of the bearer keys for administration. */
  adminKeyHashes: z.array(hashSchema).default([]),
  /** Daemons that read the platform's object API in each zone. */
  readersPerZone: z.number().int().min(1).max(8).default(2),
  weightStore: z
    .strictObject({
      /** Loads at once at full speed, over all pools. */
      fullSpeedLoads: z.number().int().positive().default(8),
    })
    .prefault({}),
  /** Idle seconds that one avoided cold start is worth, by priority class. */
  coldStartWorthSeconds: z
    .strictObject({
      live: z.number().min(0).default(900),
      interactive: z.number().min(0).default(300),
      batch: z.number().min(0).default(30),
    })
    .prefault({}),
  /** Largest request body in bytes. */
  bodyLimitBytes: z
    .number()
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  logLevel: z.enum(['info', 'warn', 'error']).default('info'),
  /** Opens the switches for link faults on the callers' port. For tests only. */
  faultInjection: z.boolean().default(false),
});

/** Settings of one daemon. */
export type DaemonSettings = z.infer<typeof settingsSchema>;

/** Checks settings. Fails with `settings_invalid`, naming the place, the key and what was expected. */
export function parseSettings(value: unknown, where: string): Result<DaemonSettings, ServiceError> {
  const parsed = settingsSchema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const message = `${where}: ${describeIssues(parsed.error)}`;
  return Result.err(serviceError('settings_invalid', message));
}

/** Reads a settings file; `overrides` from flags go before it. */
export function loadSettings(
  file: string,
  overrides: Readonly<Record<string, unknown>>,
): Result<DaemonSettings, ServiceError> {
  const text = readText(file);
  if (text.isErr) return Result.err(text.error);
  const value = parseYamlText(text.value, file);
  if (value.isErr) return Result.err(value.error);
  const isObject = typeof value.value === 'object' && value.value !== null;
  return parseSettings(isObject ? { ...(value.value as object), ...overrides } : value.value, file);
}

/** Reads a text file. Fails with `settings_invalid`. */
export function readText(file: string): Result<string, ServiceError> {
  try {
    return Result.ok(readFileSync(file, 'utf8'));
  } catch (fault) {
    const reason = fault instanceof Error ? fault.message : String(fault);
    return Result.err(serviceError('settings_invalid', `${file}: cannot be read: ${reason}`));
  }
}

function parseYamlText(text: string, file: string): Result<unknown, ServiceError> {
  try {
    return Result.ok(parseYaml(text) as unknown);
  } catch (fault) {
    const reason = fault instanceof Error ? fault.message : String(fault);
    return Result.err(serviceError('settings_invalid', `${file}: not YAML: ${reason}`));
  }
}
