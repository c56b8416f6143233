/** Guards against unreadable objects that hide other objects of a page or watch. */
import http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { KindFollower, type KindCopy } from '../../platform/kind-follower.js';
import { ObjectStore } from '../../platform/object-store.js';
import { listen } from '../../src/common/http-server.js';
import type { LogFields, Logger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import { silentLogger } from '../../src/common/logger.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';

function object(name: string, spec = '{}'): string {
  return `{"metadata":{"name":"${name}","revision":3,"finalizers":[]},"spec":${spec}}`;
}

function page(items: readonly string[], more = false, at = 9): string {
  return `{"items":[${items.join(',')}],"more":${more},"at":${at}}`;
}

const PAGE_BYTES = 1024 * 1024;
/** A server ends its list after this number of pages, so that the test ends. */
const MAX_PAGES_SERVED = 200;
/** Longer than the heads that a server of Node reads. */
const LONG_NAME_LENGTH = 20_000;
/** Pages that together are larger than any list. */
const ENDLESS_PAGES = 60;

describe('ObjectStore', () => {
  let server: http.Server;
  let store: ObjectStore;
  /** Pages by the name after which they begin. */
  let pages: Record<string, string>;
  let changes: string[];
  let requestCount: number;

  beforeEach(async () => {
    pages = {};
    changes = [];
    requestCount = 0;
    server = http.createServer((request, response) => {
      requestCount += 1;
      const { searchParams } = new URL(request.url ?? '', 'http://store');
      if (!searchParams.has('watch')) {
        const isLast = requestCount > MAX_PAGES_SERVED;
        return response.end(
          isLast ? page([]) : (pages[searchParams.get('after') ?? ''] ?? page([])),
        );
      }
      const next = changes.shift();
      if (next !== undefined) return response.end(next);
      setTimeout(() => response.end('{"events":[],"at":9}'), 300);
    });
    const port = await listen(server, '127.0.0.1', 0);
    store = new ObjectStore(`127.0.0.1:${port}`, new GatewayMetrics(), silentLogger);
  });

  afterEach(() => {
    store.close();
    server.close();
    server.closeAllConnections();
  });

  async function names(): Promise<string[] | string> {
    const list = await store.list('servers', false);
    return list.isOk ? list.value.items.map(({ name }) => name) : list.error.type;
  }

  it('reads the other objects of a page with invalid objects', async () => {
    const odd = ['null', '7', '{}', '{"metadata":{"name":"b"}}', '{"metadata":{"revision":4}}'];
    pages[''] = page([object('a'), ...odd, object('c')]);
    expect(await names()).toEqual(['a', 'c']);
    const list = await store.list('servers', false);
    expect(list.unwrapOr(undefined)?.unread?.map(({ name }) => name)).toContain('b');
  });

  it('reads the other objects of a page with an object that is not JSON', async () => {
    const broken = object('b', '{"service":"x\u0001\n\\q","slots":NaN}');
    pages[''] = page([object('a', '"}]"'), broken, object('c', '[[{}]]')], true);
    pages.c = page([object('d')]);
    expect(await names()).toEqual(['a', 'c', 'd']);
  });

  it('continues after a page whose last objects, or all objects, are unreadable', async () => {
    pages[''] = page([object('a'), '{"metadata":{"name":"b","revision":"late"}}'], true);
    pages.b = page(['{"metadata":{"name":"c"}}'], true);
    pages.c = page([object('d')]);
    expect(await names()).toEqual(['a', 'd']);
  });

  it('continues after a page whose last objects have no usable name', async () => {
    const odd = ['null', '{}', '{"metadata":{"name":7}}', object('c\\ud800')];
    pages[''] = page([object('a'), ...odd], true);
    pages.a = page([...odd, object('d')], true);
    pages.d = page([object('e')]);
    const read = await names();
    expect(read).toEqual(expect.arrayContaining(['a', 'd', 'e']));
  });

  it('continues after a page whose last object has a name that no head can hold', async () => {
    const long = 'b'.repeat(LONG_NAME_LENGTH);
    pages[''] = page([object('a'), object(long)], true);
    pages.a = page([object(long), object('c')], true);
    pages.c = page([object('d')]);
    const read = await names();
    expect(read).toEqual(expect.arrayContaining(['a', 'c', 'd']));
  });

  it('returns the position of the first page, because objects of that page may have changed since', async () => {
    pages[''] = page([object('a')], true, 9);
    pages.a = page([object('b')], false, 12);
    const list = await store.list('servers', false);
    expect(list.unwrapOr(undefined)?.at).toBe(9);
  });

  it('fails a list that it cannot read to its end', async () => {
    pages[''] = page(['null', '{}'], true);
    expect(await names()).toBe('lost');
    pages[''] = page([object('a')], true);
    pages.a = page([object('a')], true);
    expect(await names()).toBe('lost');
    for (const text of [
      'null',
      '[]',
      '{"items":7,"at":9}',
      '{"items":[],"at":"x"}',
      '{"items":[',
    ]) {
      pages[''] = text;
      expect(await names()).toBe('lost');
    }
  });

  it('fails a list whose pages repeat or never end, and requests no further page', async () => {
    pages[''] = page([object('a')], true);
    pages.a = page([object('b')], true);
    pages.b = page([object('a')], true);
    expect(await names()).toBe('lost');
    expect(requestCount).toBeLessThanOrEqual(4);
    const filler = object('x', JSON.stringify('x'.repeat(PAGE_BYTES)));
    const endless = Array.from({ length: ENDLESS_PAGES }, (_, index) => `p${index}`);
    pages = Object.fromEntries(
      endless.map((name, index) => [
        index === 0 ? '' : `p${index - 1}`,
        page([filler, object(name)], true),
      ]),
    );
    requestCount = 0;
    expect(await names()).toBe('lost');
    expect(requestCount).toBeLessThan(ENDLESS_PAGES);
  });

  it('returns the readable changes of a watch and advances past the unreadable ones', async () => {
    const event = (text: string): string => `{"gone":false,"object":${text}}`;
    const events = [
      'null',
      event('{"metadata":7}'),
      event(object('b', 'Infinity')),
      event(object('c')),
    ];
    changes = [`{"events":[${events.join(',')}],"at":12}`, 'null', '{"events":{},"at":13}'];
    const options = { from: 9, waitMs: 100, stale: false };
    const read = await store.watch('servers', options);
    const changed = read.unwrapOr(undefined);
    expect(changed?.events.map(({ object: { name } }) => name)).toEqual(['c']);
    expect(changed?.at).toBe(12);
    expect((await store.watch('servers', options)).isErr).toBe(true);
    expect((await store.watch('servers', options)).isErr).toBe(true);
  });

  it('does not ask for the same changes again and again if they are too large to be read', async () => {
    const lines: string[] = [];
    const write = (event: string): void => void lines.push(event);
    const copies: KindCopy[] = [];
    pages[''] = page([object('a')]);
    const text = JSON.stringify('x'.repeat(PAGE_BYTES));
    const event = `{"gone":false,"object":${object('a', text)}}`;
    const large = `{"events":[${Array.from({ length: 10 }, () => event).join(',')}],"at":20}`;
    changes = Array.from({ length: 50 }, () => large);
    const follower = new KindFollower({
      store,
      logger: { info: write, warn: write, error: write },
      kind: 'config',
      pace: { periodMs: 10, stale: false, waitMs: 300, longestPauseMs: 100 },
      onObjects: (copy) => {
        copies.push(copy);
        pages[''] = page([object('a'), object('b')], false, 20);
        if (copies.length === 2) changes = [];
      },
    });
    void follower.run();
    const until = performance.now() + 10_000;
    while (copies.length < 2 && performance.now() < until) await sleep(10);
    follower.stop();
    expect([...(copies.at(-1)?.objects.keys() ?? [])]).toEqual(['a', 'b']);
    expect(lines).toEqual(['store_changes_skipped']);
  });

  it('keeps all held objects and logs each unreadable object once', async () => {
    const lines: LogFields[] = [];
    const write = (event: string, fields: LogFields = {}): void => {
      lines.push({ event, ...fields });
    };
    const logger: Logger = { info: write, warn: write, error: write };
    let copy: KindCopy | undefined;
    pages[''] = page([object('a'), '{"metadata":{"name":"b","revision":[]}}']);
    changes = [
      '{"events":[{"gone":false,"object":{"metadata":{"name":"b","revision":[]}}}],"at":10}',
      'null',
      `{"events":[{"gone":false,"object":${object('c')}}],"at":11}`,
    ];
    const pace = { periodMs: 10, stale: false, waitMs: 300, longestPauseMs: 100 };
    const onObjects = (received: KindCopy): void => void (copy = received);
    const follower = new KindFollower({
      store,
      logger,
      kind: 'servers',
      pace: pace,
      onObjects,
    });
    void follower.run();
    await sleep(500);
    follower.stop();
    expect([...(copy?.objects.keys() ?? [])]).toEqual(['a', 'c']);
    const unread = lines.filter(({ event }) => event === 'object_unread');
    expect(unread).toHaveLength(1);
    expect(unread[0]).toMatchObject({ kind: 'servers', name: 'b' });
    expect(lines.filter(({ event }) => event === 'follower_fault')).toEqual([]);
    expect(requestCount).toBeLessThan(20);
  });
});
