import { validateHeaderValue } from 'node:http';
import { describe, expect, it } from 'vitest';
import { readConfiguration } from '../../platform/configuration.js';
import { platformDialect } from '../../platform/dialect.js';
import { readTenants, withoutKeys } from '../../platform/tenants.js';
import { hashKey } from '../../src/core/admission/api-keys.js';

function read(tenants: unknown): ReturnType<typeof readTenants> {
  const stripped = withoutKeys({ version: 1, tenants }) as { tenants: unknown };
  return readTenants(stripped.tenants);
}

const LIMITED = { name: 'a', apiKeys: ['k1', 'k2'], unit: 'tokens', plainTokens: 200 };

describe('withoutKeys', () => {
  it('replaces keys by digests, and keeps digests when applied again', () => {
    const once = withoutKeys({ version: 1, tenants: [LIMITED] });
    expect(JSON.stringify(once)).not.toContain('k1');
    expect(withoutKeys(once)).toEqual(once);
    expect(readConfiguration(once)?.tenants?.[0]?.keyDigests).toEqual(['k1', 'k2'].map(hashKey));
  });
});

describe('readTenants', () => {
  it('reads a limit, a priority and a public route', () => {
    const { tenants, problems } = read([{ ...LIMITED, ratePerS: 50, burst: 70, priority: 1 }]);
    const limit = { unit: 'tokens', perSecond: 50, burst: 70, defaultCharge: 200 };
    const keyDigests = ['k1', 'k2'].map(hashKey);
    expect(tenants).toEqual([{ name: 'a', keyDigests, priority: 1, limit }]);
    expect(problems).toEqual([]);
    const route = { public: true };
    expect(readConfiguration({ version: 1, routes: [route] })?.routes[0]?.isPublic).toBe(true);
  });

  it('distinguishes a configuration without a tenant list from one with an empty list', () => {
    expect(readTenants(undefined).tenants).toBeUndefined();
    expect(readTenants([]).tenants).toEqual([]);
  });

  it('applies no limit if the rate is 0 or absent', () => {
    expect(read([{ ...LIMITED, ratePerS: 0, burst: 9 }]).tenants?.[0]?.limit).toBeUndefined();
    expect(read([LIMITED]).tenants?.[0]?.limit).toBeUndefined();
  });

  it('applies the valid settings and reports the others without printing keys', () => {
    const { tenants, problems } = read([
      { ...LIMITED, ratePerS: -5 },
      { name: 'b', apiKeys: ['k2', 'k3'], ratePerS: 5, unit: 'bytes' },
      { name: 'b', apiKeys: ['k4'] },
      { apiKeys: ['k5'] },
    ]);
    expect(tenants?.map((tenant) => [tenant.name, tenant.keyDigests, tenant.limit])).toEqual([
      ['a', [hashKey('k1'), hashKey('k2')], undefined],
      ['b', [hashKey('k3')], undefined],
    ]);
    expect(problems).toHaveLength(5);
    expect(problems.join()).not.toMatch(/k\d/);
  });

  it.each(['Rīga', 'José', '東京', 'a b', 'a\u0085'])(
    'accepts the name %j, which backends receive in UTF-8',
    (name) => {
      expect(read([{ name, apiKeys: ['k'] }]).tenants).toHaveLength(1);
      const sent = platformDialect.backendHeaders({
        backend: 'b',
        remainingMs: 1,
        lastEventId: undefined,
        priority: 0,
        tenant: name,
      })['X-Tenant'];
      validateHeaderValue('X-Tenant', sent ?? '');
      expect(Buffer.from(sent ?? '', 'latin1').toString('utf8')).toBe(name);
    },
  );

  it.each(['a\nb', 'a\u0000', '\u007f', '\ud800', ' a', 'a\t'])(
    'refuses the name %j, which no header can hold, and keeps the other tenants',
    (name) => {
      const { tenants, problems } = read([
        { name, apiKeys: ['k1'] },
        { name: 'sound', apiKeys: ['k2'] },
      ]);
      expect(tenants?.map((tenant) => tenant.name)).toEqual(['sound']);
      expect(problems).toHaveLength(1);
    },
  );

  it('accepts no key if the tenants are not a list', () => {
    const { tenants, problems } = read('nobody');
    expect(tenants).toEqual([]);
    expect(problems).toHaveLength(1);
  });
});
