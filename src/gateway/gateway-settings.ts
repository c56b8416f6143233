/** Settings of a gateway daemon. Validated without a schema library, because the daemon must start fast. */
import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import { Result } from 'true-myth';
import { parseJson } from '../common/http-client.js';
import { isAddress } from '../common/address.js';
import { serviceError, type ServiceError } from '../common/errors.js';
import {
  DEFAULT_POLICIES,
  POLICY_NAMES,
  createPolicies,
  RETIRED_POLICY_NAMES,
  type Policies,
} from '../core/policies.js';

/** Service-level bounds that the operator guarantees for the whole system. */
export interface GatewayBounds {
  /** Maximum duration of a planned stop, in seconds. */
  readonly stopSeconds: number;
  /** Maximum number of retries per request, over all daemons. */
  readonly retryRatio: number;
  readonly retryWindowSeconds: number;
  /** Number of retries allowed in each window in addition to the ratio. */
  readonly retrySlack: number;
  /** Window in which loads from the weight store are counted, in seconds. */
  readonly storeLoadWindowSeconds: number;
  /** Factor by which the loads in such a window may exceed the store's rate. */
  readonly storeLoadExcess: number;
  /** Maximum time for which a revoked key is still accepted, in milliseconds; infinite if not guaranteed. */
  readonly revocationMs: number;
  /** Time after which a new configuration is in force on all daemons, in milliseconds; infinite if not guaranteed. */
  readonly configurationMs: number;
  /** Window in which the units of a tenant's limit are counted, in seconds. */
  readonly limitWindowSeconds: number;
  /** Fraction of a tenant's limit by which usage may exceed it in such a window. */
  readonly limitExcess: number;
  /** Number of units by which usage may exceed the limit in such a window in addition to that fraction. */
  readonly limitSlack: number;
}

/** Settings of one gateway daemon. */
export interface GatewaySettings {
  /** Name of the machine. */
  readonly name: string;
  readonly zone: string;
  /** Fraction of the processor that the daemon may use. */
  readonly processorShare: number;
  /** Speed of that processor, in cores of standard speed. */
  readonly processorSpeed: number;
  /** Memory that the process may use, in units of 1,024 x 1,024 bytes (MiB). */
  readonly memoryMegabytes: number;
  /** File descriptors that the process may have open. */
  readonly descriptors: number;
  /** IPv4 address on which other daemons reach this one. */
  readonly address: string;
  /** Port for other daemons, TCP and UDP. */
  readonly peerPort: number;
  /** Port for metrics; 0 for none. */
  readonly metricsPort: number;
  /** "ip:port" on which callers connect. */
  readonly callers: string;
  /** "ip:port" of the readiness probe. */
  readonly readiness: string;
  /** "ip:port" of the platform's store. */
  readonly store: string;
  /** IPv4 addresses of the daemons that this one contacts first to join the group. */
  readonly seeds: readonly string[];
  /** Whether backends refuse orders with a lower epoch than the highest they have seen; if not, an owner needs a lease. */
  readonly backendsCheckEpochs: boolean;
  /** Policies that operators may switch off. */
  readonly policies: Policies;
  /** Policies named in the file that no longer have an effect. */
  readonly retiredPolicies: readonly string[];
  readonly bounds: GatewayBounds;
}

/** Memory of the smallest supported machines, in MiB. */
const DEFAULT_MEMORY_MEGABYTES = 200;
/** File descriptors of the smallest supported machines. */
const DEFAULT_DESCRIPTORS = 3_072;
/** Least number of file descriptors with which a daemon can serve. */
const MIN_DESCRIPTORS = 256;
/** Window of tenants' limits if the settings name none, in seconds. */
const DEFAULT_LIMIT_WINDOW_SECONDS = 8;

type Fields = Readonly<Record<string, unknown>>;

/**
 * Reads and validates a settings file. Fails with `settings_invalid`; the message names the file, the key and
 * the expected value.
 */
export function loadGatewaySettings(file: string): Result<GatewaySettings, ServiceError> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (fault) {
    return invalid(`${file}: cannot be read: ${String(fault)}`);
  }
  const parsed = parseJson(text);
  if (parsed.isErr) return invalid(`${file}: not JSON: ${parsed.error}`);
  return parseGatewaySettings(parsed.value, file);
}

/** Validates settings. Unknown keys are ignored, except under `policies`. */
export function parseGatewaySettings(
  value: unknown,
  where: string,
): Result<GatewaySettings, ServiceError> {
  const reader = new FieldReader(value, where);
  const bounds = reader.object('bounds');
  const policies = reader.optionalObject('policies');
  policies.rejectUnknownKeys([...POLICY_NAMES, ...RETIRED_POLICY_NAMES]);
  const settings: GatewaySettings = {
    name: reader.text('name'),
    zone: reader.text('zone'),
    processorShare: reader.number('processorShare', 0),
    processorSpeed: reader.number('processorSpeed', 0),
    memoryMegabytes: reader.numberOr('memoryMegabytes', 32, DEFAULT_MEMORY_MEGABYTES),
    descriptors: reader.numberOr('descriptors', MIN_DESCRIPTORS, DEFAULT_DESCRIPTORS),
    address: reader.checked('address', 'an IPv4 address', isIPv4),
    peerPort: reader.number('peerPort', 1),
    metricsPort: reader.number('metricsPort', 0),
    callers: reader.checked('callers', '"ip:port"', isAddress),
    readiness: reader.checked('readiness', '"ip:port"', isAddress),
    store: reader.checked('store', '"ip:port"', isAddress),
    seeds: reader.strings('seeds'),
    backendsCheckEpochs: reader.flag('backendsCheckEpochs'),
    policies: createPolicies((name) => policies.flag(name, DEFAULT_POLICIES[name])),
    retiredPolicies: RETIRED_POLICY_NAMES.filter((name) => policies.has(name)),
    bounds: {
      stopSeconds: bounds.number('stopSeconds', 0),
      retryRatio: bounds.number('retryRatio', 0),
      retryWindowSeconds: bounds.number('retryWindowSeconds', 0.1),
      retrySlack: bounds.number('retrySlack', 0),
      storeLoadWindowSeconds: bounds.number('storeLoadWindowSeconds', 0.1),
      storeLoadExcess: bounds.number('storeLoadExcess', 0),
      revocationMs: bounds.numberOr('revocationMs', 0, Infinity),
      configurationMs: bounds.numberOr('configurationMs', 0, Infinity),
      limitWindowSeconds: bounds.numberOr('limitWindowSeconds', 0.1, DEFAULT_LIMIT_WINDOW_SECONDS),
      limitExcess: bounds.numberOr('limitExcess', 0, 0),
      limitSlack: bounds.numberOr('limitSlack', 0, 0),
    },
  };
  const [problem] = [...reader.problems, ...bounds.problems, ...policies.problems];
  return problem === undefined ? Result.ok(settings) : invalid(problem);
}

/** Reads typed fields and collects error messages for invalid ones. */
class FieldReader {
  readonly problems: string[] = [];
  private readonly fields: Fields;

  constructor(
    value: unknown,
    private readonly where: string,
  ) {
    const isObject = typeof value === 'object' && value !== null;
    this.fields = isObject ? (value as Fields) : {};
    if (!isObject) this.problems.push(`${where}: expected an object`);
  }

  text(key: string): string {
    return this.checked(key, 'a non-empty string', (text) => text !== '');
  }

  checked(key: string, expected: string, isValid: (text: string) => boolean): string {
    const value = this.fields[key];
    if (typeof value === 'string' && isValid(value)) return value;
    this.problem(key, expected);
    return '';
  }

  number(key: string, minimum: number): number {
    const value = this.fields[key];
    if (typeof value === 'number' && value >= minimum) return value;
    this.problem(key, `a number of at least ${minimum}`);
    return minimum;
  }

  /** Reads a number; returns `fallback` if the key is absent. */
  numberOr(key: string, minimum: number, fallback: number): number {
    return this.fields[key] === undefined ? fallback : this.number(key, minimum);
  }

  strings(key: string): string[] {
    const value = this.fields[key];
    if (Array.isArray(value) && value.every((item) => typeof item === 'string')) {
      return value;
    }
    this.problem(key, 'a list of strings');
    return [];
  }

  object(key: string): FieldReader {
    return new FieldReader(this.fields[key], `${this.where}: ${key}`);
  }

  /** Reads an object; an absent key counts as an empty object. */
  optionalObject(key: string): FieldReader {
    return new FieldReader(this.fields[key] ?? {}, `${this.where}: ${key}`);
  }

  /** Reads a boolean; returns `fallback` if the key is absent. */
  flag(key: string, fallback = true): boolean {
    const value = this.fields[key] ?? fallback;
    if (typeof value === 'boolean') return value;
    this.problem(key, 'true or false');
    return true;
  }

  /** Whether the key is present. */
  has(key: string): boolean {
    return this.fields[key] !== undefined;
  }

  /** Reports each key that is not in `known`: such a key is probably misspelt. */
  rejectUnknownKeys(known: readonly string[]): void {
    for (const key of Object.keys(this.fields)) {
      if (!known.includes(key)) this.problem(key, `one of ${known.join(', ')}`);
    }
  }

  private problem(key: string, expected: string): void {
    this.problems.push(`${this.where}: ${key}: expected ${expected}`);
  }
}

function isIPv4(text: string): boolean {
  return isIP(text) === 4;
}

function invalid(message: string): Result<GatewaySettings, ServiceError> {
  return Result.err(serviceError('settings_invalid', message));
}
