/**
 * Stand-in for the platform's metadata store, by PROTOCOL.md: objects by kind and name, one counter of
 * revisions, lists, long-poll watches and conditional writes. It is sound: it loses nothing and answers every call.
 */
import http from 'node:http';
import { setTimeout, clearTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE_SIZE = 500;
const LONGEST_WAIT_MS = 30_000;

export class Store {
  constructor() {
    this.kinds = new Map();
    this.changes = [];
    this.revision = 0;
    this.waiters = new Set();
    this.server = http.createServer((request, response) => this.receive(request, response));
  }

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  objectsOf(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  put(kind, name, spec) {
    const object = {
      metadata: { name, revision: this.revision + 1, finalizers: [] },
      spec,
      status: {},
    };
    this.objectsOf(kind).set(name, object);
    this.changed(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const object = this.objectsOf(kind).get(name);
    if (object === undefined) return;
    this.objectsOf(kind).delete(name);
    const metadata = { ...object.metadata, revision: this.revision + 1 };
    this.changed(kind, { ...object, metadata }, true);
  }

  changed(kind, object, gone) {
    this.revision += 1;
    this.changes.push({ kind, revision: this.revision, gone, object });
    for (const check of [...this.waiters]) check();
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => {});
    request.on('end', () => {
      const text = chunks.map(String).join('');
      const body = text === '' ? {} : JSON.parse(text);
      const answer = (status, value) => {
        response.writeHead(status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(value));
      };
      this.execute(request, body, answer, response);
    });
  }

  execute(request, body, answer, response) {
    const url = new URL(request.url, 'http://store');
    const [kind = '', name] = url.pathname
      .replace('/-/objects/', '')
      .split('/')
      .map(decodeURIComponent);
    const objects = this.objectsOf(kind);
    if (request.method === 'GET') {
      if (url.searchParams.has('watch')) return this.watch(kind, url, answer, response);
      if (name !== undefined) {
        const object = objects.get(name);
        return object === undefined ? answer(404, {}) : answer(200, object);
      }
      const after = url.searchParams.get('after') ?? '';
      const rest = [...objects.values()]
        .filter((object) => object.metadata.name > after)
        .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
      const items = rest.slice(0, PAGE_SIZE);
      return answer(200, { items, more: rest.length > items.length, at: this.revision });
    }
    const wanted = body.metadata?.revision ?? numberOf(url.searchParams.get('revision'));
    const key = name ?? body.metadata?.name;
    const known = objects.get(key);
    if (request.method === 'POST') {
      return known === undefined ? answer(201, this.put(kind, key, body.spec)) : answer(409, known);
    }
    if (known === undefined) return answer(404, {});
    if (wanted !== undefined && wanted !== known.metadata.revision) return answer(409, known);
    if (request.method === 'PUT') {
      const isSame = JSON.stringify(known.spec) === JSON.stringify(body.spec);
      return answer(200, isSame ? known : this.put(kind, key, body.spec));
    }
    this.remove(kind, key);
    answer(200, {});
  }

  watch(kind, url, answer, response) {
    const from = Number(url.searchParams.get('watch'));
    const waitMs = Math.min(LONGEST_WAIT_MS, Number(url.searchParams.get('waitMs') ?? 0));
    const end = (events) => {
      clearTimeout(timer);
      this.waiters.delete(check);
      answer(200, { events, at: Math.max(from, this.revision) });
    };
    const check = () => {
      const events = this.changes
        .filter((change) => change.kind === kind && change.revision > from)
        .map(({ object, gone }) => ({ object, gone }));
      if (events.length > 0) end(events);
    };
    const timer = setTimeout(() => end([]), waitMs);
    this.waiters.add(check);
    response.once('close', () => {
      clearTimeout(timer);
      this.waiters.delete(check);
    });
    check();
  }
}

function numberOf(text) {
  return text === null ? undefined : Number(text);
}
