/** Settings of a gateway daemon, checked by hand: this path must start fast. */
import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import { Result } from 'true-myth';
import { parseJson } from '../common/http-client.js';
import { serviceError, type ServiceError } from '../common/errors.js';
import {
  DEFAULT_POLICIES,
  POLICY_NAMES,
  createPolicies,
  RETIRED_POLICY_NAMES,
  type Policies,
} from '../core/policies.js';

/** Bounds that operators promise for the whole system. */
export interface GatewayBounds {
  /** A stop may take so long. */
  readonly stopSeconds: number;
  /** Repeated sends for each request, over all daemons. */
  readonly retryRatio: number;
  readonly retryWindowSeconds: number;
  /** Repeated sends in a window besides. */
  readonly retrySlack: number;
  /** Window in which loads from the weight store are counted. */
  readonly storeLoadWindowSeconds: number;
  /** Factor on the store's rate in such a window. */
  readonly storeLoadExcess: number;
  /** A key that was taken away is served for no longer; infinite without such a promise. */
  readonly revocationMs: number;
  /** A new configuration is in force everywhere after so long; infinite without such a promise. */
  readonly configurationMs: number;
  /** Window in which the units of a tenant's limit are counted. */
  readonly limitWindowSeconds: number;
  /** Share of a tenant's limit that may be exceeded in such a window. */
  readonly limitExcess: number;
  /** Units that may be exceeded in such a window besides. */
  readonly limitSlack: number;
}

/** Settings of one gateway daemon. */
export interface GatewaySettings {
  /** Name of the machine. */
  readonly name: string;
  readonly zone: string;
  /** Share of the processor that the daemon may use. */
  readonly processorShare: number;
  /** How fast that processor is, in cores of common speed. */
  readonly processorSpeed: number;
  /** Memory that the process may use, in units of 1,024 x 1,024 bytes. */
  readonly memoryMegabytes: number;
  /** IPv4 number for other daemons. */
  readonly address: string;
  /** Port for other daemons, TCP and UDP. */
  readonly peerPort: number;
  /** Port for metrics; 0 for none. */
  readonly metricsPort: number;
  /** "ip:port" for callers. */
  readonly callers: string;
  /** "ip:port" for the question whether callers are wanted. */
  readonly readiness: string;
  /** "ip:port" of the platform's store. */
  readonly store: string;
  /** IPv4 numbers of daemons to start from. */
  readonly seeds: readonly string[];
  /** Backends refuse orders of a lower epoch than they have seen; else an owner keeps a lease. */
  readonly backendsCheckEpochs: boolean;
  /** Policies that operators may switch off. */
  readonly policies: Policies;
  /** Policies that the file names and that change nothing any more. */
  readonly retiredPolicies: readonly string[];
  readonly bounds: GatewayBounds;
}

/** Memory of the smallest machines that a daemon is meant for. */
const DEFAULT_MEMORY_MEGABYTES = 200;
/** Window of tenants' limits where the operator names none. */
const DEFAULT_LIMIT_WINDOW_SECONDS = 8;

type Fields = Readonly<Record<string, unknown>>;

/** Reads and checks a settings file. Fails with `settings_invalid`: file, key, what was expected. */
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

/** Checks settings; unknown keys are ignored. */
export function parseGatewaySettings(
  value: unknown,
  where: string,
): Result<GatewaySettings, ServiceError> {
  const reader = new FieldReader(value, where);
  const bounds = reader.object('bounds');
  const policies = reader.optionalObject('policies');
  policies.onlyKeys([...POLICY_NAMES, ...RETIRED_POLICY_NAMES]);
  const settings: GatewaySettings = {
    name: reader.text('name'),
    zone: reader.text('zone'),
    processorShare: reader.number('processorShare', 0),
    processorSpeed: reader.number('processorSpeed', 0),
    memoryMegabytes: reader.numberOr('memoryMegabytes', 32, DEFAULT_MEMORY_MEGABYTES),
    address: reader.checked('address', 'an IPv4 number', isIPv4),
    peerPort: reader.number('peerPort', 1),
    metricsPort: reader.number('metricsPort', 0),
    callers: reader.checked('callers', '"ip:port"', isAddress),
    readiness: reader.checked('readiness', '"ip:port"', isAddress),
    store: reader.checked('store', '"ip:port"', isAddress),
    seeds: reader.texts('seeds'),
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

/** Reads typed fields and collects what is wrong with them. */
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
    return this.checked(key, 'a text', (text) => text !== '');
  }

  checked(key: string, expected: string, isValid: (text: string) => boolean): string {
    const value = this.fields[key];
    if (typeof value === 'string' && isValid(value)) return value;
    this.problem(key, expected);
    return '';
  }

  number(key: string, least: number): number {
    const value = this.fields[key];
    if (typeof value === 'number' && value >= least) return value;
    this.problem(key, `a number of ${least} or more`);
    return least;
  }

  /** A number whose absence means `otherwise`. */
  numberOr(key: string, least: number, otherwise: number): number {
    return this.fields[key] === undefined ? otherwise : this.number(key, least);
  }

  texts(key: string): string[] {
    const value = this.fields[key];
    if (Array.isArray(value) && value.every((item) => typeof item === 'string')) {
      return value;
    }
    this.problem(key, 'a list of texts');
    return [];
  }

  object(key: string): FieldReader {
    return new FieldReader(this.fields[key], `${this.where}: ${key}`);
  }

  /** An object whose absence means that it is empty. */
  optionalObject(key: string): FieldReader {
    return new FieldReader(this.fields[key] ?? {}, `${this.where}: ${key}`);
  }

  /** A flag whose absence means `otherwise`. */
  flag(key: string, otherwise = true): boolean {
    const value = this.fields[key] ?? otherwise;
    if (typeof value === 'boolean') return value;
    this.problem(key, 'true or false');
    return true;
  }

  /** Whether the key is there. */
  has(key: string): boolean {
    return this.fields[key] !== undefined;
  }

  /** A key that means nothing here is likely to be a misspelt one. */
  onlyKeys(known: readonly string[]): void {
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

function isAddress(text: string): boolean {
  return /^\d+\.\d+\.\d+\.\d+:\d+$/.test(text);
}

function invalid(message: string): Result<GatewaySettings, ServiceError> {
  return Result.err(serviceError('settings_invalid', message));
}
