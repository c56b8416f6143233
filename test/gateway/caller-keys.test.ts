import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { hashKey } from '../../src/core/admission/api-keys.js';
import type { CallerTenant } from '../../src/core/service-configuration.js';
import type { GatewaySettings } from '../../src/gateway/gateway-settings.js';
import {
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';

function tenantOf(name: string, key: string, part: Partial<CallerTenant> = {}): CallerTenant {
  return { name, keyDigests: [hashKey(key)], priority: undefined, limit: undefined, ...part };
}

const KEY = { authorization: 'Key abc' };

describe('callers with keys', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  let heads: { headers: NodeJS.Dict<string | string[]>; raw: string[] }[];

  beforeEach(async () => {
    heads = [];
    backend = new TestBackend('one');
    const defaultHandle = backend.handle;
    backend.handle = (request, response, body) => {
      heads.push({ headers: request.headers, raw: request.rawHeaders });
      defaultHandle(request, response, body);
    };
    await backend.start();
  });

  afterEach(() => {
    harness.stop();
    backend.stop();
  });

  async function start(
    tenants: readonly CallerTenant[] | undefined,
    bounds: Partial<GatewaySettings['bounds']> = {},
  ): Promise<void> {
    harness = await GatewayHarness.start();
    harness.stop();
    harness = await GatewayHarness.start({ bounds: { ...harness.settings.bounds, ...bounds } });
    const routes = [testRoute(), testRoute({ name: 'open', pathPrefix: '/open/', isPublic: true })];
    harness.configure(testConfiguration({ tenants, routes }));
    harness.list([backend.record()]);
  }

  it('have their tenant, but not their key, forwarded to the backend', async () => {
    await start([tenantOf('a', 'abc', { priority: 7 })]);
    expect((await harness.call({ id: '1', headers: KEY })).status).toBe(200);
    expect(heads[0]?.headers).toMatchObject({ tenant: 'a', urgency: '7' });
    expect(heads[0]?.headers.authorization).toBeUndefined();
    expect(JSON.stringify(harness.lines)).not.toContain('abc');
  });

  it('get a WWW-Authenticate challenge if their key is unknown', async () => {
    await start([tenantOf('a', 'abc')]);
    for (const authorization of ['Key abcd', 'Key ', 'Bearer abc']) {
      const answer = await harness.call({ id: '1', headers: { authorization } });
      expect(answer.status).toBe(401);
      expect(answer.headers['www-authenticate']).toBe('Key');
    }
    expect((await harness.call({ id: '1' })).status).toBe(401);
    expect(heads).toHaveLength(0);
  });

  it('need no key on a public route, and cannot set their tenant', async () => {
    await start([tenantOf('a', 'abc')]);
    const answer = await harness.call({ id: '1', path: '/open/x', headers: { tenant: 'a' } });
    expect(answer.status).toBe(200);
    expect(heads[0]?.headers.tenant).toBeUndefined();
  });

  it('have their Authorization header forwarded if no keys are configured', async () => {
    await start(undefined);
    await harness.call({ id: '1', headers: KEY });
    expect(heads[0]?.headers.authorization).toBe('Key abc');
  });

  it('cannot set headers reserved for the gateway by repeating them, changing case or listing them as hop-by-hop', async () => {
    await start([tenantOf('a', 'abc')]);
    const [host = '', port = '0'] = harness.settings.callers.split(':');
    const socket = net.connect(Number(port), host);
    const lines = [
      'POST /work/x HTTP/1.1',
      'Host: service.test',
      'Request-Id: 1',
      'AUTHORIZATION: Key abc',
      'tEnAnT: b',
      'Tenant: c',
      'HELD: 4',
      'Urgency: 0',
      'Connection: Tenant, Urgency, close',
      'Content-Length: 0',
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    await new Promise((resolve) => socket.on('close', resolve).resume());
    const names = heads[0]?.raw.filter((_, index) => index % 2 === 0);
    expect(names?.filter((name) => name.toLowerCase() === 'tenant')).toHaveLength(1);
    expect(heads[0]?.headers).toMatchObject({ tenant: 'a', urgency: '1' });
    expect(heads[0]?.headers.held).toBeUndefined();
    expect(heads[0]?.headers.authorization).toBeUndefined();
  });

  it('are served until the lease expires, then refused with a retry time, then served again', async () => {
    await start([tenantOf('a', 'abc')], { revocationMs: 1_500 });
    harness.isStoreAnswering = true;
    await pause(300);
    expect((await harness.call({ id: '1', headers: KEY })).status).toBe(200);
    harness.isStoreAnswering = false;
    await pause(1_200);
    const refused = await harness.call({ id: '2', headers: KEY });
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    // A newer configuration may contain a key that this daemon does not know.
    expect((await harness.call({ id: '3', headers: { authorization: 'Key new' } })).status).toBe(
      503,
    );
    expect((await harness.call({ id: '4', path: '/none/' })).status).toBe(503);
    harness.isStoreAnswering = true;
    await pause(4_600);
    expect((await harness.call({ id: '5', headers: KEY })).status).toBe(200);
  }, 12_000);

  it('are refused if their key is revoked while they wait', async () => {
    await start([tenantOf('a', 'abc')]);
    harness.list([backend.record({ leaving: true })]);
    const waiting = harness.call({ id: '1', headers: KEY });
    await pause(20);
    harness.configure(testConfiguration({ version: 2, tenants: [tenantOf('a', 'other')] }));
    harness.list([backend.record()]);
    expect((await waiting).status).not.toBe(200);
    expect(heads).toHaveLength(0);
  });

  it('are not retried at a second backend after their key is revoked', async () => {
    await start([tenantOf('a', 'abc')]);
    const second = new TestBackend('two');
    await second.start();
    harness.list([backend.record(), second.record()]);
    const breakOff: TestBackend['handle'] = (_request, response) => {
      harness.configure(testConfiguration({ version: 2, tenants: [tenantOf('a', 'other')] }));
      response.destroy();
    };
    backend.handle = breakOff;
    second.handle = breakOff;
    const answer = await harness.call({ id: '1', headers: KEY });
    // The request may have run, so the answer does not state that it has not.
    expect(answer.status).toBe(502);
    expect(backend.arrivals.length + second.arrivals.length).toBe(1);
    second.stop();
  });

  it('over their limit get the time until the tenant has the units, and unsent requests cost nothing', async () => {
    const limit = { unit: 'tokens', perSecond: 100, burst: 100, defaultCharge: 50 } as const;
    await start([tenantOf('a', 'abc', { limit })], { limitSlack: 400 });
    const { address } = harness.gateway['peers'];
    harness.gateway['members'].listed = [{ address, zone: 'a', site: '' }];
    const call = (tokens: string): ReturnType<GatewayHarness['call']> =>
      harness.call({ id: '1', headers: { ...KEY, tokens } });
    expect((await call('80')).status).toBe(200);
    const over = await call('90');
    expect(over.status).toBe(429);
    expect(over.headers['x-ran']).toBe('no');
    expect(Number(over.headers['retry-after'])).toBeGreaterThan(0.3);
    expect(Number(over.headers['retry-after'])).toBeLessThan(2);
  });
});
