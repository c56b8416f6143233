/**
 * Stand-in for the platform's store, after PROTOCOL.md: objects by kind and name, one counter of revisions, conditional writes, lists and
 * watches. Each caller has an address of its own.
 */
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { Buffer } from 'node:buffer';

/** Time in which the store answers, in milliseconds (SYSTEM.md). */
const ANSWER_MS = 4;
const LONGEST_WAIT_MS = 30_000;
/** Characters of changes from which on an answer to a watch ends; the next watch continues. */
const LARGEST_ANSWER = 1_000_000;

export class Store {
  #kinds = new Map();
  #changes = [];
  #revision = 0;
  #waiters = new Set();
  #servers = [];

  /** Opens an address for one caller; resolves with "ip:port". */
  async listen() {
    const server = http.createServer((request, response) => this.#receive(request, response));
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.#servers.push(server);
    return `127.0.0.1:${server.address().port}`;
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** All objects of a kind, by name. */
  objects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  /** Writes an object's spec, on behalf of anyone. */
  put(kind, name, spec) {
    const metadata = { name, revision: this.#revision + 1, finalizers: [], deleting: false };
    const object = { metadata, spec, status: null };
    this.objects(kind).set(name, object);
    this.#changed(kind, object, false);
    return object;
  }

  /** Removes an object, on behalf of anyone. */
  remove(kind, name) {
    const object = this.objects(kind).get(name);
    if (object === undefined) return undefined;
    this.objects(kind).delete(name);
    const metadata = { ...object.metadata, revision: this.#revision + 1 };
    this.#changed(kind, { ...object, metadata }, true);
    return object;
  }

  #changed(kind, object, gone) {
    this.#revision += 1;
    this.#changes.push({ kind, revision: this.#revision, event: { object, gone } });
    // History of the last changes only.
    if (this.#changes.length > 1_000) this.#changes.shift();
    for (const check of [...this.#waiters]) check();
  }

  #receive(request, response) {
    const parts = [];
    request.on('error', () => {});
    request.on('data', (part) => parts.push(part));
    request.on('end', () => {
      const text = Buffer.concat(parts).toString('utf8');
      const call = { method: request.method, body: text === '' ? {} : JSON.parse(text) };
      setTimeout(() => this.#execute(request.url, call, response), ANSWER_MS);
    });
  }

  #execute(target, { method, body }, response) {
    const url = new URL(target, 'http://store');
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    if (method !== 'GET') return this.#write(method, kind, name, body, response);
    if (url.searchParams.has('watch')) return this.#watch(kind, url.searchParams, response);
    const objects = this.objects(kind);
    if (name !== undefined) {
      return objects.has(name)
        ? answer(response, 200, objects.get(name))
        : answer(response, 404, {});
    }
    const items = [...objects.values()].sort((a, b) =>
      a.metadata.name < b.metadata.name ? -1 : 1,
    );
    answer(response, 200, { items, more: false, at: this.#revision });
  }

  #write(method, kind, name, { metadata = {}, spec }, response) {
    const objects = this.objects(kind);
    if (method === 'POST') {
      const known = objects.get(metadata.name);
      if (known !== undefined) return answer(response, 409, known);
      return answer(response, 201, this.put(kind, metadata.name, spec));
    }
    const known = objects.get(name);
    if (known === undefined) return answer(response, 404, {});
    const isOther = ![undefined, known.metadata.revision].includes(metadata.revision);
    if (isOther) return answer(response, 409, known);
    if (method === 'DELETE') return answer(response, 200, this.remove(kind, name));
    const isSame = JSON.stringify(known.spec) === JSON.stringify(spec);
    answer(response, 200, isSame ? known : this.put(kind, name, spec));
  }

  #watch(kind, query, response) {
    const from = Number(query.get('watch'));
    const waitMs = Math.min(LONGEST_WAIT_MS, Number(query.get('waitMs') ?? 0));
    const end = (status, body) => {
      clearTimeout(timer);
      this.#waiters.delete(check);
      answer(response, status, body);
    };
    const check = () => {
      const oldest = this.#changes[0]?.revision ?? this.#revision + 1;
      if (from < oldest - 1) return end(410, {});
      const changes = this.#changes.filter(
        (change) => change.kind === kind && change.revision > from,
      );
      if (changes.length === 0) return;
      const { events, at } = firstPage(changes);
      end(200, { events, at: at ?? this.#revision });
    };
    const timer = setTimeout(
      () => end(200, { events: [], at: Math.max(from, this.#revision) }),
      waitMs,
    );
    this.#waiters.add(check);
    check();
  }
}

/** As many of the changes as fit into one answer; `at` is undefined if these are all. */
function firstPage(changes) {
  const events = [];
  let length = 0;
  for (const { event, revision } of changes) {
    events.push(event);
    length += JSON.stringify(event).length;
    if (length >= LARGEST_ANSWER && revision !== changes.at(-1).revision)
      return { events, at: revision };
  }
  return { events, at: undefined };
}

function answer(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  const length = Buffer.byteLength(text);
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': length });
  response.end(text);
}
