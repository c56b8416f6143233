/** Guards against a malformed reply or line of the platform that ends the daemon which reads it. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import type { FeedRelay } from '../../src/daemon/feed-relay.js';
import { PlatformReader } from '../../src/daemon/platform-reader.js';
import { HttpPlatformClient } from '../../src/platform/http-platform-client.js';

const MALFORMED = ['null', '1', '"x"', '[]', '{}', '{"revision":"1"}', '{"items":null}'];
const TENANT = { kind: 'tenant', name: 'a' } as const;

describe('a malformed message of the platform', () => {
  let client: HttpPlatformClient;
  let server: http.Server;
  let reply = '';
  let paths: (string | undefined)[];

  beforeEach(async () => {
    paths = [];
    server = http.createServer((request, response) => {
      paths.push(request.url);
      response.end(reply);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    client = new HttpPlatformClient(`127.0.0.1:${port}`);
  });
  afterEach(() => {
    client.close();
    server.close();
  });

  it.each(MALFORMED)('%s fails its call only', async (body) => {
    reply = body;
    for (const call of [client.list(), client.machines(), client.get('tenant', 'a')]) {
      expect((await call).isErr).toBe(true);
    }
    const write = await client.write({ ...TENANT, expectedVersion: 1, value: {} });
    expect(write.isErr && write.error.kind).toBe('platform_outcome_unknown');
  });

  it.each(MALFORMED)('%s breaks its watch only', async (line) => {
    reply = `${line}\n`;
    const events: unknown[] = [];
    const reason = await new Promise((resolve) => {
      client.watch(1, { onEvent: (event) => events.push(event), onEnd: resolve });
    });
    expect([events, reason]).toEqual([[], 'broken']);
  });

  it('does not end the reader, which reads again', async () => {
    reply = '{}';
    const feed = { state: { revision: 0 } } as FeedRelay;
    const reader = new PlatformReader(client, feed, feed, silentLogger);
    reader.setRunning(true);
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    reader.setRunning(false);
    expect(paths.filter((path) => path === '/objects').length).toBeGreaterThan(1);
    expect(paths.filter((path) => path === '/machines').length).toBeGreaterThan(1);
  });

  it('about one machine leaves the others in the list', async () => {
    const machine = { kind: 'engine', zone: 'z', site: 's', pool: 'p', state: 'live' };
    const sound = { ...machine, address: '127.0.0.1:1' };
    const machines = [sound, null, { ...machine, address: 'nonsense' }];
    reply = JSON.stringify({ version: 3, machines });
    expect((await client.machines()).unwrapOr(undefined)).toEqual({
      version: 3,
      machines: [sound],
    });
  });

  it('is none if it has the shape that the platform publishes', async () => {
    const object = { ...TENANT, version: 4, value: { any: 1 } };
    reply = JSON.stringify(object);
    expect((await client.get('tenant', 'a')).unwrapOr(undefined)).toEqual(object);
    reply = JSON.stringify({ revision: 5, items: [object] });
    expect((await client.list()).unwrapOr(undefined)).toEqual({ revision: 5, items: [object] });
    const changes = [
      { revision: 6, change: { ...TENANT, value: 1 } },
      { revision: 7, change: TENANT },
      { revision: 8 },
    ];
    reply = changes.map((change) => `${JSON.stringify(change)}\n`).join('');
    const events: unknown[] = [];
    await new Promise((resolve) => {
      client.watch(1, { onEvent: (event) => events.push(event), onEnd: resolve });
    });
    expect(events).toEqual(changes);
  });
});
