/** The configuration and the list of machines as the rest of a daemon reads them. */
import { parseJson } from '../common/http-client.js';
import {
  parseDocument,
  renderTenant,
  type TemplateDocument,
  type TenantDocument,
  type TenantSpec,
} from '../core/documents.js';
import type { Feed } from '../core/feed.js';
import type { PooledTenant } from '../core/pool-messages.js';
import { withoutWriteId } from '../core/write-id.js';
import { allowedReplicas } from '../core/quota.js';
import type { PoolRecord, QuotaRecord } from '../core/records.js';
import type { PoolRoute, RoutingDirectory } from '../core/router-messages.js';
import { objectKey, type Machine, type ObjectKind } from '../platform/platform-client.js';

/** Decoded objects kept; the rest is decoded when it is used again. */
const CACHE_LIMIT = 1024;

interface CachedTenant {
  readonly tenantRevision: number;
  readonly templateRevision: number;
  readonly spec: TenantSpec | undefined;
}

interface CachedRecord {
  readonly revision: number;
  readonly record: unknown;
}

/** Reads the two feeds. */
export class Directory implements RoutingDirectory {
  private readonly tenantCache = new Map<string, CachedTenant>();
  private readonly recordCache = new Map<string, CachedRecord>();
  /** The decoded list; it is looked at several times a second and changes a few times an hour. */
  private machineCache: { readonly revision: number; readonly machines: readonly Machine[] } = {
    revision: -1,
    machines: [],
  };

  constructor(
    private readonly configuration: Feed,
    private readonly machineFeed: Feed,
    private readonly site: string,
  ) {}

  tenant(name: string): TenantSpec | undefined {
    const tenantRevision = this.configuration.revisionOf(objectKey('tenant', name));
    if (tenantRevision === 0) return undefined;
    const templateRevision = this.version('template', this.templateOf(name));
    const cached = this.tenantCache.get(name);
    const isCurrent =
      cached?.tenantRevision === tenantRevision && cached.templateRevision === templateRevision;
    if (isCurrent) return cached.spec;
    const spec = this.render(name);
    remember(this.tenantCache, name, { tenantRevision, templateRevision, spec });
    return spec;
  }

  routes(tenant: string): readonly PoolRoute[] {
    const quota = this.quota(tenant);
    if (quota === undefined) return [];
    const routes = quota.shares
      .filter((share) => allowedReplicas(share) > 0)
      .map((share) => this.routeTo(share.pool));
    // Stable: within a site the quota's own order decides, so that routers wake the same pool.
    return [
      ...routes.filter((route) => route.site === this.site),
      ...routes.filter((route) => route.site !== this.site),
    ];
  }

  /** How a tenant's replicas are split. */
  quota(tenant: string): QuotaRecord | undefined {
    return this.record<QuotaRecord>('quota', tenant);
  }

  /** Who owns a pool. */
  pool(name: string): PoolRecord | undefined {
    return this.record<PoolRecord>('pool', name);
  }

  /** All pools that have ever been claimed. */
  pools(): PoolRecord[] {
    return this.names('pool').flatMap((name) => this.pool(name) ?? []);
  }

  /** Names of all objects of a kind. */
  names(kind: ObjectKind): string[] {
    return [...this.configuration.keys(`${kind}/`)].map((key) => key.slice(kind.length + 1));
  }

  /** The version of an object; 0 if it does not exist. */
  version(kind: ObjectKind, name: string): number {
    return this.configuration.revisionOf(objectKey(kind, name));
  }

  /** A tenant as one pool sees it; undefined if the pool has no part of it. */
  pooledTenant(pool: string, tenant: string): PooledTenant | undefined {
    const share = this.quota(tenant)?.shares.find((entry) => entry.pool === pool);
    if (share === undefined) return undefined;
    const shrinks = share.target < share.granted;
    return {
      spec: this.tenant(tenant),
      replicaLimit: allowedReplicas(share),
      quotaVersion: this.version('quota', tenant),
      ...(shrinks ? { shrinkTarget: share.target } : {}),
    };
  }

  /** Tenants whose document names a key hash. */
  tenantsWithKey(keyHash: string): string[] {
    return this.names('tenant').filter((name) => {
      const value = this.configuration.get(objectKey('tenant', name));
      return value !== undefined && Buffer.from(value).includes(keyHash);
    });
  }

  /** The template that a tenant's document names. */
  templateOf(tenant: string): string {
    return this.tenantDocument(tenant)?.template ?? '';
  }

  /** The platform's list. */
  machines(): readonly Machine[] {
    const { revision } = this.machineFeed;
    if (this.machineCache.revision !== revision) {
      const addresses = [...this.machineFeed.keys('')];
      const machines = addresses.flatMap((address) => this.machine(address) ?? []);
      this.machineCache = { revision, machines };
    }
    return this.machineCache.machines;
  }

  /** One machine of the platform's list. */
  machine(address: string): Machine | undefined {
    return decode<Machine>(this.machineFeed.get(address));
  }

  private routeTo(pool: string): PoolRoute {
    const record = this.pool(pool);
    return { pool, site: record?.site ?? '', owner: record?.owner ?? '' };
  }

  /** A document as operators wrote it. */
  document(kind: 'template' | 'tenant', name: string): unknown {
    return withoutWriteId(this.record(kind, name));
  }

  private tenantDocument(name: string): TenantDocument | undefined {
    return this.document('tenant', name) as TenantDocument | undefined;
  }

  private record<Value>(kind: ObjectKind, name: string): Value | undefined {
    const key = objectKey(kind, name);
    const revision = this.configuration.revisionOf(key);
    if (revision === 0) return undefined;
    const cached = this.recordCache.get(key);
    if (cached?.revision === revision) return cached.record as Value;
    const record = decode<Value>(this.configuration.get(key));
    if (record !== undefined) remember(this.recordCache, key, { revision, record });
    return record;
  }

  private render(name: string): TenantSpec | undefined {
    const tenant = this.tenantDocument(name);
    const templateName = tenant?.template ?? '';
    const template = this.document('template', templateName) as TemplateDocument | undefined;
    if (tenant === undefined || template === undefined) return undefined;
    if (parseDocument(template).isErr || parseDocument(tenant).isErr) return undefined;
    return renderTenant(template, tenant).unwrapOr(undefined);
  }
}

function decode<Value>(bytes: Uint8Array | undefined): Value | undefined {
  if (bytes === undefined) return undefined;
  return parseJson(Buffer.from(bytes).toString('utf8')).unwrapOr(undefined) as Value | undefined;
}

/** Adds to a bounded cache; the oldest entry goes. */
function remember<Value>(cache: Map<string, Value>, key: string, value: Value): void {
  cache.delete(key);
  cache.set(key, value);
  if (cache.size <= CACHE_LIMIT) return;
  const oldest = cache.keys().next().value;
  if (oldest !== undefined) cache.delete(oldest);
}
