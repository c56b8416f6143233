/**
 * Decoded, cached access to the configuration and the list of machines for the other parts of a
 * daemon.
 */
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

/** Maximum number of decoded objects in each cache; evicted objects are decoded again on use. */
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

/** Looks up objects in the configuration feed and the machine feed. */
export class Directory implements RoutingDirectory {
  private readonly tenantCache = new Map<string, CachedTenant>();
  private readonly recordCache = new Map<string, CachedRecord>();
  /**
   * The decoded list of machines; it is read several times a second and changes a few times an
   * hour.
   */
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
    addToCache(this.tenantCache, name, { tenantRevision, templateRevision, spec });
    return spec;
  }

  routes(tenant: string): readonly PoolRoute[] {
    const quota = this.quota(tenant);
    if (quota === undefined) return [];
    const routes = quota.shares
      .filter((share) => allowedReplicas(share) > 0)
      .map((share) => this.routeTo(share.pool));
    // Keeps the quota's order within a site, so that all routers wake the same pool.
    return [
      ...routes.filter((route) => route.site === this.site),
      ...routes.filter((route) => route.site !== this.site),
    ];
  }

  /** The quota record of a tenant: the distribution of its replicas over pools. */
  quota(tenant: string): QuotaRecord | undefined {
    return this.record<QuotaRecord>('quota', tenant);
  }

  /** The record of a pool, which names its owner. */
  pool(name: string): PoolRecord | undefined {
    return this.record<PoolRecord>('pool', name);
  }

  /** The records of all pools that have ever been claimed. */
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

  /**
   * A tenant from the point of view of one pool; undefined if the pool has no share of its quota.
   */
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

  /** Names of the tenants whose document contains a key hash. */
  tenantsWithKey(keyHash: string): string[] {
    return this.names('tenant').filter((name) => {
      const value = this.configuration.get(objectKey('tenant', name));
      return value !== undefined && Buffer.from(value).includes(keyHash);
    });
  }

  /** Name of the template in a tenant's document; empty if there is no document. */
  templateOf(tenant: string): string {
    return this.tenantDocument(tenant)?.template ?? '';
  }

  /** The machines in the platform's list. */
  machines(): readonly Machine[] {
    const { revision } = this.machineFeed;
    if (this.machineCache.revision !== revision) {
      const addresses = [...this.machineFeed.keys('')];
      const machines = addresses.flatMap((address) => this.machine(address) ?? []);
      this.machineCache = { revision, machines };
    }
    return this.machineCache.machines;
  }

  /** One machine in the platform's list. */
  machine(address: string): Machine | undefined {
    return decode<Machine>(this.machineFeed.get(address));
  }

  private routeTo(pool: string): PoolRoute {
    const record = this.pool(pool);
    return { pool, site: record?.site ?? '', owner: record?.owner ?? '' };
  }

  /** A template or tenant document as the operator wrote it. */
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
    if (record !== undefined) addToCache(this.recordCache, key, { revision, record });
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

/** Adds a value to a bounded cache and evicts the oldest entry if the cache is full. */
function addToCache<Value>(cache: Map<string, Value>, key: string, value: Value): void {
  cache.delete(key);
  cache.set(key, value);
  if (cache.size <= CACHE_LIMIT) return;
  const oldest = cache.keys().next().value;
  if (oldest !== undefined) cache.delete(oldest);
}
