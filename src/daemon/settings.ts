/**
 * Settings of a daemon, read from a YAML file and command-line flags and validated against a
 * schema.
 */
import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import { Result } from 'true-myth';
import { parse as parseYaml } from 'yaml';
import { z } from 'zod';
import { serviceError, type ServiceError } from '../common/errors.js';
import { describeIssues } from '../core/documents.js';

const ipSchema = z.string().refine((text) => isIP(text) === 4, 'expected an IPv4 address');
const portSchema = z.number().int().min(1).max(65_535);
const addressSchema = z
  .string()
  .refine((text) => /^\d+\.\d+\.\d+\.\d+:\d+$/.test(text), 'expected "ip:port"');
const hashSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 hash of 64 lower-case hexadecimal digits');

/** Least number of the largest bodies for which the memory for requests must suffice. */
const MIN_BODIES_IN_MEMORY = 2;

const fieldsSchema = z.strictObject({
  /** Name of the daemon in logs. */
  name: z.string().min(1),
  /** IPv4 address at which callers, operators and other daemons reach this daemon. */
  address: ipSchema,
  /** Port for callers and operators. */
  callerPort: portSchema,
  /** Port for other daemons, TCP and UDP. */
  peerPort: portSchema,
  zone: z.string().min(1),
  site: z.string().min(1),
  /** Address of the platform's service. */
  platform: addressSchema,
  /** Addresses of daemons to contact at the start, in addition to the platform's list. */
  seeds: z.array(addressSchema).default([]),
  /** SHA-256 hashes of the bearer keys of the administration API. */
  adminKeyHashes: z.array(hashSchema).default([]),
  /** Number of daemons per zone that read the platform's object API. */
  readersPerZone: z.number().int().min(1).max(8).default(2),
  weightStore: z
    .strictObject({
      /** Number of concurrent loads that the weight store serves at full speed, over all pools. */
      fullSpeedLoads: z.number().int().positive().default(8),
    })
    .prefault({}),
  /** Seconds of idle time of a replica that are worth one avoided cold start, by priority class. */
  coldStartWorthSeconds: z
    .strictObject({
      live: z.number().min(0).default(900),
      interactive: z.number().min(0).default(300),
      batch: z.number().min(0).default(30),
    })
    .prefault({}),
  /** Maximum size of a request body in bytes. */
  bodyLimitBytes: z
    .number()
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  /** Memory for the requests of callers and operators that have not ended, in bytes. */
  requestMemoryBytes: z
    .number()
    .int()
    .min(1024 * 1024)
    .default(64 * 1024 * 1024),
  /** File descriptors that the process may have open. */
  descriptors: z.number().int().min(256).default(4_096),
  logLevel: z.enum(['info', 'warn', 'error']).default('info'),
  /** Serves the endpoint for link faults on the caller port. For tests only. */
  faultInjection: z.boolean().default(false),
});

const settingsSchema = fieldsSchema.refine(
  ({ bodyLimitBytes, requestMemoryBytes }) =>
    requestMemoryBytes >= MIN_BODIES_IN_MEMORY * bodyLimitBytes,
  {
    path: ['requestMemoryBytes'],
    error: `expected at least ${MIN_BODIES_IN_MEMORY} times bodyLimitBytes`,
  },
);

/** Settings of one daemon. */
export type DaemonSettings = z.infer<typeof settingsSchema>;

/**
 * Validates settings. The error `settings_invalid` names the file, the key and the expected value.
 */
export function parseSettings(value: unknown, where: string): Result<DaemonSettings, ServiceError> {
  const parsed = settingsSchema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const message = `${where}: ${describeIssues(parsed.error)}`;
  return Result.err(serviceError('settings_invalid', message));
}

/** Reads a settings file; `overrides` from flags take precedence over it. */
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

/** Reads a UTF-8 text file. Returns the error `settings_invalid` if it cannot be read. */
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
