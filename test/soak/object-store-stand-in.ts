/**
 * Stand-in for the object store of the users' platform: objects by kind and name,
 * a revision counter, pagination, long-poll watches, conditional writes, and seeded
 * faults. Implements the protocol that the platform documents.
 */
import http from 'node:http';
import { readJson, sendJson, listen } from '../../src/common/http-server.js';
import { ServerConnections } from './server-connections.js';
import type { SeededRandom } from './seeded-random.js';

/** Objects on one page of a list. */
const PAGE_SIZE = 3;
const LONGEST_WAIT_MS = 30_000;
const LARGEST_BODY_BYTES = 1024 * 1024;

/** Current behaviour of the store towards its callers. */
export type StoreCondition =
  'sound' | 'busy' | 'throttled' | 'silent' | 'reset' | 'slow' | 'answers_lost';

interface StoredObject {
  readonly metadata: { readonly name: string; readonly revision: number };
  readonly spec: unknown;
}

interface StoredChange {
  readonly kind: string;
  readonly revision: number;
  readonly gone: boolean;
  readonly object: StoredObject;
}

/** Kinds that the operator and the replicas write; they repeat writes that a restore has lost. */
const REWRITTEN_KINDS = ['config', 'servers'];

/** A write that a restore has lost: the newest state of an object, or its removal. */
export interface LostWrite {
  readonly kind: string;
  readonly name: string;
  /** Undefined if the object was removed. */
  readonly spec: unknown;
}

/** Backup of the whole store at one moment. */
export interface StoreCopy {
  readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  readonly changes: readonly StoredChange[];
  readonly revision: number;
}

interface Waiter {
  readonly check: () => void;
}

interface Call {
  readonly method: string;
  readonly kind: string;
  readonly name: string | undefined;
  readonly query: URLSearchParams;
  readonly body: { metadata?: { name?: string; revision?: number }; spec?: unknown };
}

/** Stand-in for one store. */
export class ObjectStoreStandIn {
  /** Behaviour towards all callers. */
  condition: StoreCondition = 'sound';
  /** Behaviour towards single callers, by name; applies while `condition` is `sound`. */
  readonly callerConditions = new Map<string, StoreCondition>();
  readonly connections = new ServerConnections();
  calls = 0;
  private readonly kinds = new Map<string, Map<string, StoredObject>>();
  private changes: StoredChange[] = [];
  private revision = 0;
  /** Revision at which the current era began. */
  private restoredAt = 0;
  /** Watches from before this revision get status 410. */
  private compactedUpTo = 0;
  private readonly waiters = new Set<Waiter>();
  private readonly servers: http.Server[] = [];

  /** @param era - Incremented each time the store is restored from a copy. */
  constructor(
    private readonly random: SeededRandom,
    private era = 1,
  ) {}

  /** Opens an address for a single caller, which identifies the caller; returns "ip:port". */
  async listenFor(caller: string): Promise<string> {
    const server = http.createServer(
      (request, response) => void this.handle(caller, request, response),
    );
    this.connections.track(server);
    this.servers.push(server);
    return `127.0.0.1:${await listen(server, '127.0.0.1', 0)}`;
  }

  stop(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** The spec of an object; undefined if there is none. */
  read(kind: string, name: string): unknown {
    return this.objectsOf(kind).get(name)?.spec;
  }

  /** Writes on behalf of the operator and the replicas; never rejected. */
  put(kind: string, name: string, spec: unknown): void {
    const object = { metadata: { name, revision: this.revision + 1 }, spec };
    this.objectsOf(kind).set(name, object);
    this.recordChange(kind, object, false);
  }

  /** Removes an object on behalf of the operator and the replicas. */
  delete(kind: string, name: string): void {
    const object = this.objectsOf(kind).get(name);
    if (object === undefined) return;
    this.objectsOf(kind).delete(name);
    this.recordChange(kind, object, true);
  }

  /** Takes a backup of the whole store. */
  copy(): StoreCopy {
    const kinds = new Map([...this.kinds].map(([kind, objects]) => [kind, new Map(objects)]));
    return { kinds, changes: [...this.changes], revision: this.revision };
  }

  /**
   * Restores a backup: later writes are lost, and their revisions are assigned a second time.
   *
   * @returns The lost writes that the operator and the replicas have to repeat.
   */
  restore(copy: StoreCopy): LostWrite[] {
    const lost = REWRITTEN_KINDS.flatMap((kind) => this.lostSince(copy, kind));
    this.kinds.clear();
    for (const [kind, objects] of copy.kinds) this.kinds.set(kind, new Map(objects));
    this.changes = [...copy.changes];
    this.revision = copy.revision;
    this.restoredAt = copy.revision;
    this.compactedUpTo = Math.min(this.compactedUpTo, copy.revision);
    this.era += 1;
    this.checkWaiters();
    return lost;
  }

  /** Compares the objects themselves, because the change history may have been compacted. */
  private lostSince(copy: StoreCopy, kind: string): LostWrite[] {
    const before = copy.kinds.get(kind) ?? new Map<string, StoredObject>();
    const now = this.objectsOf(kind);
    const names = new Set([...before.keys(), ...now.keys()]);
    return [...names]
      .filter((name) => before.get(name) !== now.get(name))
      .map((name) => ({ kind, name, spec: now.get(name)?.spec }));
  }

  /** Repeats lost writes, except for objects that were written after the restore. */
  repeatLostWrites(lost: readonly LostWrite[]): void {
    const newest = new Map(lost.map((write) => [`${write.kind}/${write.name}`, write]));
    const since = this.changes.filter(({ revision }) => revision > this.restoredAt);
    for (const { kind, object } of since) newest.delete(`${kind}/${object.metadata.name}`);
    for (const { kind, name, spec } of newest.values()) {
      if (spec === undefined) this.delete(kind, name);
      else this.put(kind, name, spec);
    }
  }

  /** Discards the change history that watches read. */
  compact(): void {
    this.changes = [];
    this.compactedUpTo = this.revision;
    this.checkWaiters();
  }

  private async handle(
    caller: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (this.connections.isSilent(request.socket)) return;
    this.calls += 1;
    const condition = this.conditionFor(caller);
    if (condition === 'silent') return;
    if (condition === 'reset') return void request.socket.destroy();
    if (condition === 'busy') return this.send(response, 503, {});
    if (condition === 'throttled') return this.send(response, 429, {});
    const call = await readCall(request);
    if (call === undefined) return this.send(response, 400, {});
    const isLost = condition === 'answers_lost' && call.method !== 'GET' && this.random.chance(0.4);
    const delayMs = condition === 'slow' ? this.random.between(100, 600) : 1;
    const reply = (status: number, body: object): void => {
      // A watch that was pending when an outage began gets no response either.
      if (isLost || this.conditionFor(caller) === 'silent') return;
      if (this.conditionFor(caller) === 'reset') request.socket.destroy();
      else this.send(response, status, body);
    };
    setTimeout(() => this.execute(call, reply), delayMs);
  }

  private send(response: http.ServerResponse, status: number, body: object): void {
    sendJson(response, status, body, { 'store-era': String(this.era) });
  }

  private conditionFor(caller: string): StoreCondition {
    if (this.condition !== 'sound') return this.condition;
    return this.callerConditions.get(caller) ?? 'sound';
  }

  private execute(call: Call, reply: (status: number, body: object) => void): void {
    if (call.method !== 'GET') return this.write(call, reply);
    if (call.query.has('watch')) return this.watch(call, reply);
    const objects = this.objectsOf(call.kind);
    if (call.name !== undefined) {
      const object = objects.get(call.name);
      return object === undefined ? reply(404, { at: this.revision }) : reply(200, object);
    }
    const after = call.query.get('after') ?? '';
    const rest = [...objects.values()]
      .filter((object) => object.metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const items = rest.slice(0, PAGE_SIZE);
    reply(200, { items, more: rest.length > items.length, at: this.revision });
  }

  private watch(call: Call, reply: (status: number, body: object) => void): void {
    const from = Number(call.query.get('watch'));
    const waitMs = Math.min(LONGEST_WAIT_MS, Number(call.query.get('waitMs') ?? 0));
    const waiter: Waiter = { check: () => this.replyIfEvents(call, from, waiter, timer, reply) };
    const timer = setTimeout(() => {
      this.waiters.delete(waiter);
      reply(200, { events: [], at: Math.max(from, this.revision) });
    }, waitMs);
    this.waiters.add(waiter);
    waiter.check();
  }

  private replyIfEvents(
    call: Call,
    from: number,
    waiter: Waiter,
    timer: NodeJS.Timeout,
    reply: (status: number, body: object) => void,
  ): void {
    const isCompacted = from < this.compactedUpTo || from > this.revision;
    const events = this.changes
      .filter((change) => change.kind === call.kind && change.revision > from)
      .map(({ gone, object }) => ({ gone, object }));
    if (!isCompacted && events.length === 0) return;
    clearTimeout(timer);
    this.waiters.delete(waiter);
    if (isCompacted) reply(410, {});
    else reply(200, { events, at: this.revision });
  }

  private write(call: Call, reply: (status: number, body: object) => void): void {
    const name = call.name ?? call.body.metadata?.name ?? '';
    const objects = this.objectsOf(call.kind);
    const existing = objects.get(name);
    const stated = call.query.get('revision');
    const wanted = stated === null ? call.body.metadata?.revision : Number(stated);
    const exists = existing !== undefined;
    if (call.method === 'POST' && exists) return reply(409, existing);
    if (call.method === 'PUT' && !exists) return reply(404, { at: this.revision });
    if (exists && wanted !== undefined && wanted !== existing.metadata.revision) {
      return reply(409, existing);
    }
    if (call.method === 'DELETE') {
      this.delete(call.kind, name);
      return reply(200, {});
    }
    this.put(call.kind, name, call.body.spec);
    reply(call.method === 'POST' ? 201 : 200, objects.get(name) ?? {});
  }

  private recordChange(kind: string, object: StoredObject, gone: boolean): void {
    this.revision += 1;
    this.changes.push({ kind, revision: this.revision, gone, object });
    this.checkWaiters();
  }

  private checkWaiters(): void {
    for (const waiter of [...this.waiters]) waiter.check();
  }

  private objectsOf(kind: string): Map<string, StoredObject> {
    const existing = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    this.kinds.set(kind, existing);
    return existing;
  }
}

async function readCall(request: http.IncomingMessage): Promise<Call | undefined> {
  const url = new URL(request.url ?? '/', 'http://store');
  const [kind, name] = url.pathname.replace('/-/objects/', '').split('/').map(decodeURIComponent);
  if (!url.pathname.startsWith('/-/objects/') || kind === undefined) return undefined;
  const method = request.method ?? 'GET';
  const body = method === 'GET' || method === 'DELETE' ? {} : await readBodyOf(request);
  return { method, kind, name, query: url.searchParams, body };
}

async function readBodyOf(request: http.IncomingMessage): Promise<Call['body']> {
  const read = await readJson(request, LARGEST_BODY_BYTES);
  return read.isOk ? (read.value as Call['body']) : {};
}
