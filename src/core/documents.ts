/**
 * Documents that operators apply: templates and tenants. A schema validates every
 * document before it is accepted; unknown keys are errors.
 */
import { Result } from 'true-myth';
import { z } from 'zod';
import { serviceError, type ServiceError } from '../common/errors.js';
import type { AdapterSpec } from '../engines/engine-client.js';

/** Bytes of a gigabyte and a megabyte in documents. */
const GIGABYTE = 1e9;
const MEGABYTE = 1e6;

/** Priority classes, most urgent first. The index is the number on the wire. */
export const PRIORITY_CLASSES = ['live', 'interactive', 'batch'] as const;

/** A priority class. */
export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** The number of a class on the wire; lower is more urgent. */
export function priorityNumber(priority: PriorityClass): number {
  return PRIORITY_CLASSES.indexOf(priority);
}

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'a name has lower-case letters, digits, "-" and "."');

const limitsSchema = z.strictObject({
  /** Requests that run concurrently. */
  inFlight: z.number().int().positive().default(256),
  requestsPerSecond: z.number().positive().default(1000),
  /** Requests that can wait at one router. */
  queue: z.number().int().positive().default(256),
});

const keepAliveSchema = z.strictObject({
  policy: z.enum(['fixed', 'adaptive', 'forever']).default('fixed'),
  /** For `fixed`: seconds until an idle replica is unloaded. For `adaptive`: the maximum. */
  idleSeconds: z.number().positive().default(300),
});

const siteWeightSchema = z.strictObject({ site: nameSchema, weight: z.number().min(0) });

/** The service section of a template, after parameter substitution. */
const serviceSchema = z.strictObject({
  model: z.strictObject({
    name: nameSchema,
    version: z.string().min(1).default('1'),
    gigabytes: z.number().positive(),
  }),
  adapters: z
    .array(z.strictObject({ name: nameSchema, megabytes: z.number().positive() }))
    .default([]),
  /** Requests that a replica runs concurrently. */
  slots: z.number().int().positive().default(8),
  maxReplicas: z.number().int().min(0).max(1000).default(1),
  priority: z.enum(PRIORITY_CLASSES).default('interactive'),
  /** Deadline of a request that does not set its own. */
  deadlineSeconds: z.number().positive().max(86_400).default(30),
  limits: limitsSchema.prefault({}),
  keepAlive: keepAliveSchema.prefault({}),
  /** Weights of the sites during a migration; if empty, all sites have equal weight. */
  sites: z.array(siteWeightSchema).default([]),
});

const parameterSchema = z.strictObject({
  name: z.string().regex(/^[a-zA-Z][a-zA-Z0-9]*$/),
  default: z.union([z.string(), z.number()]).optional(),
});

const templateSchema = z.strictObject({
  kind: z.literal('Template'),
  name: nameSchema,
  parameters: z.array(parameterSchema).default([]),
  /** Any string may contain `${parameter}`; validated when a tenant's parameters are substituted. */
  service: z.record(z.string(), z.unknown()),
});

const tenantSchema = z.strictObject({
  kind: z.literal('Tenant'),
  name: nameSchema,
  template: nameSchema,
  parameters: z.record(z.string(), z.union([z.string(), z.number()])).default({}),
  /** SHA-256 hashes of the tenant's bearer keys, in hexadecimal. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
});

/** A template document. */
export type TemplateDocument = z.infer<typeof templateSchema>;
/** A tenant document. */
export type TenantDocument = z.infer<typeof tenantSchema>;
/** A document that operators apply. */
export type OperatorDocument = TemplateDocument | TenantDocument;

/** The weight of one site in the split of a tenant's replicas. */
export interface SiteWeight {
  readonly site: string;
  readonly weight: number;
}

/** A tenant rendered from its template, as routers and pool owners use it. */
export interface TenantSpec {
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly modelBytes: number;
  readonly adapters: readonly AdapterSpec[];
  readonly slots: number;
  readonly maxReplicas: number;
  readonly priority: PriorityClass;
  readonly deadlineMs: number;
  readonly limits: {
    readonly inFlight: number;
    readonly requestsPerSecond: number;
    readonly queue: number;
  };
  readonly keepAlive: {
    readonly policy: 'fixed' | 'adaptive' | 'forever';
    readonly idleMs: number;
  };
  readonly sites: readonly SiteWeight[];
  readonly keyHashes: readonly string[];
}

/** Parses and validates a document of either kind. Fails with `invalid_document`. */
export function parseDocument(value: unknown): Result<OperatorDocument, ServiceError> {
  const kind = (value as { kind?: unknown } | null)?.kind;
  if (kind === 'Template') return validate(templateSchema, value, 'Template');
  if (kind === 'Tenant') return validate(tenantSchema, value, 'Tenant');
  const message = `"kind": expected "Template" or "Tenant", got ${JSON.stringify(kind)}`;
  return Result.err(serviceError('invalid_document', message));
}

/** Substitutes a tenant's parameters into its template. Fails with `invalid_document`. */
export function renderTenant(
  template: TemplateDocument,
  tenant: TenantDocument,
): Result<TenantSpec, ServiceError> {
  const values = collectParameters(template, tenant);
  if (values.isErr) return Result.err(values.error);
  const substituted = substitute(template.service, values.value);
  const where = `tenant "${tenant.name}" of template "${template.name}"`;
  return validate(serviceSchema, substituted, where).map((service) =>
    toTenantSpec(tenant, service),
  );
}

function toTenantSpec(tenant: TenantDocument, service: z.infer<typeof serviceSchema>): TenantSpec {
  return {
    name: tenant.name,
    model: service.model.name,
    version: service.model.version,
    modelBytes: service.model.gigabytes * GIGABYTE,
    adapters: service.adapters.map(({ name, megabytes }) => ({
      name,
      bytes: megabytes * MEGABYTE,
    })),
    slots: service.slots,
    maxReplicas: service.maxReplicas,
    priority: service.priority,
    deadlineMs: service.deadlineSeconds * 1000,
    limits: service.limits,
    keepAlive: {
      policy: service.keepAlive.policy,
      idleMs: service.keepAlive.idleSeconds * 1000,
    },
    sites: service.sites,
    keyHashes: tenant.keyHashes,
  };
}

function collectParameters(
  template: TemplateDocument,
  tenant: TenantDocument,
): Result<Map<string, string | number>, ServiceError> {
  const values = new Map<string, string | number>();
  for (const parameter of template.parameters) {
    const value = tenant.parameters[parameter.name] ?? parameter.default;
    if (value === undefined) {
      const message = `tenant "${tenant.name}": parameter "${parameter.name}" is missing`;
      return Result.err(serviceError('invalid_document', message));
    }
    values.set(parameter.name, value);
  }
  const unknown = Object.keys(tenant.parameters).find((name) => !values.has(name));
  if (unknown === undefined) return Result.ok(values);
  const message = `tenant "${tenant.name}": template "${template.name}" has no parameter "${unknown}"`;
  return Result.err(serviceError('invalid_document', message));
}

const WHOLE_REFERENCE = /^\$\{([a-zA-Z0-9]+)\}$/;
const REFERENCE = /\$\{([a-zA-Z0-9]+)\}/g;

/** Replaces `${name}` in all strings; a string that is a single reference becomes the value with its type. */
function substitute(value: unknown, values: ReadonlyMap<string, string | number>): unknown {
  if (typeof value === 'string') {
    const whole = WHOLE_REFERENCE.exec(value)?.[1];
    if (whole !== undefined && values.has(whole)) return values.get(whole);
    return value.replace(REFERENCE, (text, name: string) => String(values.get(name) ?? text));
  }
  if (Array.isArray(value)) return value.map((item) => substitute(item, values));
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [key, substitute(item, values)]),
  );
}

function validate<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  where: string,
): Result<z.output<Schema>, ServiceError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  return Result.err(serviceError('invalid_document', `${where}: ${describeIssues(parsed.error)}`));
}

/** Lists each invalid key with what was expected. */
export function describeIssues(error: z.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.length > 0 ? `"${issue.path.join('.')}": ` : ''}${issue.message}`)
    .join('; ');
}
