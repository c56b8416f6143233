/**
 * A small stand-in for the platform, not for production. It implements versioned objects,
 * conditional writes, watches, and a list of machines that lags. Its fault switches
 * cause the outages that the failure tests need.
 */
import http from 'node:http';
import { readJson, sendJson } from '../common/http-server.js';
import type { Machine } from '../platform/platform-client.js';

/** Milliseconds between two bookmarks, which show that a watch is alive and up to date. */
const BOOKMARK_INTERVAL_MS = 500;
/** Number of changes kept for watches that resume from an earlier revision. */
const HISTORY_LIMIT = 20_000;
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;

/** Fault switches; all off by default. */
export interface PlatformFaults {
  /** Calls get no reply, and watches send nothing. */
  down: boolean;
  /** Delay in milliseconds before every call is processed. */
  delayMs: number;
  /** This many of the next writes take effect, but their replies are dropped. */
  loseReplies: number;
  /** Milliseconds by which the list of machines lags. */
  machineLagMs: number;
}

interface Change {
  readonly revision: number;
  readonly kind: string;
  readonly name: string;
  readonly value: unknown;
}

interface MachineListVersion {
  readonly at: number;
  readonly version: number;
  readonly machines: readonly Machine[];
}

/** The platform stand-in; `handle` is a request listener for Node's `http`. */
export class PlatformStandIn {
  readonly faults: PlatformFaults = { down: false, delayMs: 0, loseReplies: 0, machineLagMs: 0 };
  /** Number of calls since the start, by HTTP method and first path segment, for measurements. */
  readonly calls = new Map<string, number>();
  private revision = 0;
  private lastDroppedRevision = 0;
  private readonly objects = new Map<string, { version: number; value: unknown }>();
  private readonly history: Change[] = [];
  private readonly watchers = new Set<http.ServerResponse>();
  private readonly machineHistory: MachineListVersion[] = [{ at: 0, version: 0, machines: [] }];
  private readonly bookmarkTimer: NodeJS.Timeout;

  constructor() {
    this.bookmarkTimer = setInterval(() => this.sendBookmarks(), BOOKMARK_INTERVAL_MS);
    this.bookmarkTimer.unref();
  }

  /** Stops the bookmarks and closes the watches. */
  close(): void {
    clearInterval(this.bookmarkTimer);
    for (const watcher of this.watchers) watcher.destroy();
  }

  /** Serves one HTTP call. */
  async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    const parts = url.pathname
      .split('/')
      .filter((part) => part !== '')
      .map(decodeURIComponent);
    if (parts[0] === 'control') return this.control(parts, request, response);
    const methodAndResource = `${request.method ?? 'GET'} ${parts[0] ?? ''}`;
    this.calls.set(methodAndResource, (this.calls.get(methodAndResource) ?? 0) + 1);
    if (this.faults.down) return;
    if (this.faults.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs));
    }
    if (parts[0] === 'watch') return this.watch(Number(url.searchParams.get('after')), response);
    if (parts[0] === 'machines') return sendJson(response, 200, this.laggingMachines());
    if (parts[0] !== 'objects') return sendJson(response, 404, {});
    if (parts.length === 1) return sendJson(response, 200, this.listObjects());
    const [, kind = '', name = ''] = parts;
    if (request.method === 'GET') return this.getObject(kind, name, response);
    return this.writeObject(kind, name, request, response);
  }

  private listObjects(): unknown {
    const items = [...this.objects].map(([key, object]) => {
      const slash = key.indexOf('/');
      return { kind: key.slice(0, slash), name: key.slice(slash + 1), ...object };
    });
    return { revision: this.revision, items };
  }

  private getObject(kind: string, name: string, response: http.ServerResponse): void {
    const object = this.objects.get(`${kind}/${name}`);
    if (object === undefined) return sendJson(response, 404, {});
    sendJson(response, 200, { kind, name, ...object });
  }

  private async writeObject(
    kind: string,
    name: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    const key = `${kind}/${name}`;
    const version = this.objects.get(key)?.version ?? 0;
    const expected = Number(request.headers['if-match'] ?? 0);
    if (expected !== version) return sendJson(response, 409, { version });
    this.revision += 1;
    const value = request.method === 'DELETE' ? undefined : body.value;
    if (value === undefined) this.objects.delete(key);
    else this.objects.set(key, { version: this.revision, value });
    this.record({ revision: this.revision, kind, name, value });
    if (this.faults.loseReplies > 0) {
      this.faults.loseReplies -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, { version: this.revision });
  }

  private record(change: Change): void {
    this.history.push(change);
    if (this.history.length > HISTORY_LIMIT) {
      const dropped = this.history.shift();
      this.lastDroppedRevision = dropped?.revision ?? this.lastDroppedRevision;
    }
    if (this.faults.down) return;
    for (const watcher of this.watchers) watcher.write(changeLine(change));
  }

  private watch(after: number, response: http.ServerResponse): void {
    if (after < this.lastDroppedRevision) return sendJson(response, 410, {});
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    for (const change of this.history) {
      if (change.revision > after) response.write(changeLine(change));
    }
    response.write(`${JSON.stringify({ revision: this.revision })}\n`);
    this.watchers.add(response);
    response.on('close', () => this.watchers.delete(response));
  }

  private sendBookmarks(): void {
    if (this.faults.down) return;
    for (const watcher of this.watchers) {
      watcher.write(`${JSON.stringify({ revision: this.revision })}\n`);
    }
  }

  private laggingMachines(): unknown {
    const visibleBefore = Date.now() - this.faults.machineLagMs;
    const visible = this.machineHistory.filter((entry) => entry.at <= visibleBefore).at(-1);
    return { version: visible?.version ?? 0, machines: visible?.machines ?? [] };
  }

  private async control(
    parts: readonly string[],
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    if (parts[1] === 'faults') this.setFaults(body.value as Partial<PlatformFaults>);
    if (parts[1] === 'machines') this.setMachines(body.value as readonly Machine[]);
    sendJson(response, 200, { calls: Object.fromEntries(this.calls), revision: this.revision });
  }

  private setFaults(faults: Partial<PlatformFaults>): void {
    const wasDown = this.faults.down;
    Object.assign(this.faults, faults);
    // Watches missed the changes made during the outage, so their clients must reconnect.
    if (wasDown && !this.faults.down) for (const watcher of this.watchers) watcher.destroy();
  }

  /** Replaces the list of machines; clients see it after the lag that is set. */
  setMachines(machines: readonly Machine[]): void {
    const version = (this.machineHistory.at(-1)?.version ?? 0) + 1;
    this.machineHistory.push({ at: Date.now(), version, machines });
  }
}

function changeLine(change: Change): string {
  const { revision, kind, name, value } = change;
  return `${JSON.stringify({ revision, change: { kind, name, value } })}\n`;
}
