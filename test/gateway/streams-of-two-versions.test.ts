/** Guards against streams that go on at a backend of another software version than the one that began them. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type {
  BackendRecord,
  Route,
  ServiceConfiguration,
} from '../../src/core/service-configuration.js';
import type { VersionRecord } from '../../src/core/version-record.js';
import { findFreePorts } from '../../src/testbed/free-ports.js';
import {
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type CallerView,
} from './gateway-harness.js';

const LAST_EVENT = 6;
const EVENT_GAP_MS = 10;
/** Event after which a caller leaves or a backend breaks the stream off. */
const BROKEN_AFTER = 2;
const ADDRESSES = ['127.0.0.1', '127.0.0.2', '127.0.0.3'];
/** Zones of the daemons. Each prefers the backends of its own zone: those of v1 are in zone a, those of v2 in zone b. */
const ZONES = ['a', 'b', 'b'];
const ROUTE = testRoute({ repeatability: 'resumable_stream', maxAttempts: 3 });
/** A route whose streams are short, so that its daemons soon know all versions that one can have begun at. */
const SHORT_ROUTE = testRoute({ ...ROUTE, timeoutMs: 800 });

const SUSPENDED_MS = 60_000;
/** Kind and name of the record of versions. */
const VERSION_RECORD = 'softwareVersions/all';

let backends: TestBackend[] = [];
let daemons: GatewayHarness[] = [];
let peerPort = 0;
let revision = 0;

afterEach(() => {
  vi.useRealTimers();
  for (const daemon of daemons) daemon.stop();
  for (const backend of backends) backend.stop();
  daemons = [];
  backends = [];
});

/** Version of a test backend, which is the beginning of its id. */
function versionOf(id: string): string {
  return id.split('-')[0] ?? '';
}

/** Answers with the rest of the stream; each event names the backend that wrote it. */
async function addBackend(id: string): Promise<TestBackend> {
  const backend = new TestBackend(id, (request, response) => {
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const headers = { signed: 'yes', 'request-id': String(request.headers['request-id']) };
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    let event = first;
    const timer = setInterval(() => {
      const breaks = request.headers.breaks !== undefined && first === 1;
      if (breaks && event > BROKEN_AFTER) return void request.socket.destroy();
      response.write(`id: ${event}\ndata: ${id}\n\n`);
      event += 1;
      if (event <= LAST_EVENT) return;
      clearInterval(timer);
      response.end();
    }, EVENT_GAP_MS);
    response.on('close', () => clearInterval(timer));
  });
  await backend.start();
  backends.push(backend);
  return backend;
}

/** A record in the store, written before all daemons were restarted. */
function versionRecordOf(versions: readonly string[]): VersionRecord {
  const { host, pathPrefix, timeoutMs } = ROUTE;
  const rules = [{ host, pathPrefix, services: ['service'], timeoutMs }];
  const services = [{ service: 'service', versions, coveredMs: timeoutMs }];
  return { era: 0, sightings: 0, rules, services };
}

/** @param recorded - Value of the record of versions in the store. */
async function startDaemons(
  count: number,
  route = ROUTE,
  recorded: VersionRecord | undefined = undefined,
): Promise<void> {
  [peerPort = 0] = await findFreePorts(1, 2);
  for (const [index, address] of ADDRESSES.slice(0, count).entries()) {
    const seeds = ADDRESSES.filter((other) => other !== address);
    const zone = ZONES[index] ?? '';
    const daemon = await GatewayHarness.start({ address, peerPort, seeds, zone });
    if (recorded !== undefined)
      daemon.records.set(VERSION_RECORD, { name: 'all', value: recorded, revision: 1 });
    daemon.configure(testConfiguration({ routes: [route] }));
    daemons.push(daemon);
  }
  listAll();
  const hasAll = (daemon: GatewayHarness): boolean => daemon.liveMembers() === count;
  for (let attempt = 0; attempt < 60 && !daemons.every(hasAll); attempt++) await pause(100);
  expect(daemons.every(hasAll)).toBe(true);
}

/** Starts the first daemon anew beside the others. */
async function restartFirst(records = backends.map(recordOf)): Promise<void> {
  const [former, other] = daemons;
  former!.stop();
  const address = ADDRESSES[2]!;
  const seeds = [other!.settings.address];
  const daemon = await GatewayHarness.start({ address, peerPort, seeds, zone: ZONES[0]! });
  daemon.configure(testConfiguration({ routes: [SHORT_ROUTE] }));
  daemon.list(records);
  daemons[0] = daemon;
  for (let attempt = 0; attempt < 60 && daemon.liveMembers() < 2; attempt++) await pause(10);
}

/** Lists all backends at all daemons; those of one version as leaving. */
function listAll(leavingVersion?: string): void {
  revision += 1;
  const records = backends.map((backend) => {
    return { ...recordOf(backend), leaving: versionOf(backend.id) === leavingVersion };
  });
  for (const daemon of daemons) daemon.list(records);
}

/** Lists one backend at the first daemon. */
function listOnly(backend: TestBackend): void {
  revision += 1;
  daemons[0]!.list([recordOf(backend)]);
}

function recordOf(backend: TestBackend): BackendRecord {
  const softwareVersion = versionOf(backend.id);
  return backend.record({ revision, softwareVersion, zone: softwareVersion === 'v1' ? 'a' : 'b' });
}

/** A configuration with one route and two services. */
function configurationOf(route: Route, version: number): ServiceConfiguration {
  const { services } = testConfiguration();
  const others = services.map((service) => ({ ...service, name: 'other' }));
  return testConfiguration({ version, routes: [route], services: [...services, ...others] });
}

/** Writers of the events in an answer's body, by event id. */
function writersOf(body: string): Map<number, string> {
  const events = [...body.matchAll(/^id: (\d+)\ndata: (.+)\n\n/gm)];
  return new Map(events.map(([, id, writer]) => [Number(id), writer ?? '']));
}

function versionsIn(...bodies: string[]): Set<string> {
  const writers = bodies.flatMap((body) => [...writersOf(body).values()]);
  return new Set(writers.map(versionOf));
}

/** Begins a stream and leaves after event {@link BROKEN_AFTER}; returns what arrived until then. */
function beginAndLeave(daemon: GatewayHarness, id: string): Promise<string> {
  return new Promise((resolve, reject) => {
    let body = '';
    const request = daemon.request({ id }, (response) => {
      response.on('data', (chunk: Buffer) => {
        body += chunk.toString();
        if (writersOf(body).size < BROKEN_AFTER) return;
        request.destroy();
        resolve(body);
      });
      response.on('error', () => {});
    });
    request.on('error', reject);
    request.on('close', () => resolve(body));
  });
}

function takeUp(
  daemon: GatewayHarness,
  resumes: string | undefined,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerView> {
  const named: Record<string, string> = resumes === undefined ? {} : { resumes };
  const id = `${(resumes ?? 'unnamed').slice(0, 20)}-again-${daemon.settings.address}`;
  const after = { 'last-event-id': String(BROKEN_AFTER) };
  return daemon.call({ id, headers: { ...after, ...named, ...headers } });
}

describe('a stream that its backend breaks off', () => {
  it('goes on at a backend of the same software version only', async () => {
    for (const id of ['v1-a', 'v2-a', 'v1-b', 'v2-b']) await addBackend(id);
    await startDaemons(1);
    for (let call = 0; call < 20; call++) {
      const answer = await daemons[0]!.call({ id: `s${call}`, headers: { breaks: '1' } });
      expect(versionsIn(answer.body).size).toBe(1);
      expect(writersOf(answer.body).size).toBe(LAST_EVENT);
    }
  });

  it('is broken off towards its caller at once if no other backend has that version', async () => {
    for (const id of ['v1-a', 'v2-a']) await addBackend(id);
    await startDaemons(1);
    const [first] = backends;
    listOnly(first!);
    const answering = daemons[0]!.call({ id: 's', headers: { breaks: '1' } });
    // A request that arrives at the daemon later would begin at the other version, and end there.
    while (first!.arrivals.length === 0) await pause(1);
    listOnly(backends[1]!);
    const startedAt = Date.now();
    const answer = await answering;
    expect(Date.now() - startedAt).toBeLessThan(1_000);
    expect(answer.complete).toBe(false);
    expect(versionsIn(answer.body)).toEqual(new Set(['v1']));
  });
});

describe('a stream that its caller takes up at another daemon', () => {
  beforeEach(async () => {
    for (const id of ['v1-a', 'v2-a', 'v1-b', 'v2-b']) await addBackend(id);
    await startDaemons(3);
  });

  it('goes on at the software version that began it', async () => {
    for (let call = 0; call < 20; call++) {
      const begun = await beginAndLeave(daemons[0]!, `s${call}`);
      const rest = await takeUp(daemons[1 + (call % 2)]!, `s${call}`);
      expect(rest.status).toBe(200);
      expect(versionsIn(begun, rest.body).size).toBe(1);
      expect(writersOf(rest.body).size).toBe(LAST_EVENT - BROKEN_AFTER);
    }
  });

  it('goes on there although the daemon that began it is dead', async () => {
    const begun: string[] = [];
    for (let call = 0; call < 20; call++) begun.push(await beginAndLeave(daemons[0]!, `s${call}`));
    daemons[0]!.stop();
    for (const [call, body] of begun.entries()) {
      const rest = await takeUp(daemons[1 + (call % 2)]!, `s${call}`);
      expect(rest.status).toBe(200);
      expect(versionsIn(body, rest.body).size).toBe(1);
    }
  });

  it('goes on there at the third attempt, which names the first', async () => {
    const begun = await beginAndLeave(daemons[0]!, 's');
    daemons[0]!.stop();
    await takeUp(daemons[1]!, 's');
    const rest = await takeUp(daemons[2]!, 's');
    expect(versionsIn(begun, rest.body).size).toBe(1);
  });

  it('is refused at once if no daemon knows where it began', async () => {
    const begun = await beginAndLeave(daemons[0]!, 's');
    expect(writersOf(begun).size).toBe(BROKEN_AFTER);
    const cases: readonly Promise<CallerView>[] = [
      takeUp(daemons[1]!, 'never-begun'),
      takeUp(daemons[1]!, 'x'.repeat(1_500)),
      takeUp(daemons[1]!, ''),
      takeUp(daemons[1]!, undefined),
      takeUp(daemons[1]!, 's', { model: 'another' }),
    ];
    const startedAt = Date.now();
    for (const refused of await Promise.all(cases)) {
      expect(refused.status).toBe(503);
      expect(refused.headers['x-error-kind']).toBe('stream_not_resumable');
      expect(refused.headers['x-ran']).toBe('no');
    }
    expect(Date.now() - startedAt).toBeLessThan(1_000);
  });

  it('is refused at once if no backend has that version any more', async () => {
    const begun = await beginAndLeave(daemons[0]!, 's');
    const [version] = versionsIn(begun);
    listAll(version);
    const startedAt = Date.now();
    const refused = await takeUp(daemons[1]!, 's');
    expect(refused.status).toBe(503);
    expect(refused.headers['x-error-kind']).toBe('stream_not_resumable');
    expect(Date.now() - startedAt).toBeLessThan(1_000);
  });
});

describe('a stream that its caller takes up without naming it', () => {
  it('goes on while all backends have one software version', async () => {
    for (const id of ['v1-a', 'v1-b']) await addBackend(id);
    await startDaemons(2, SHORT_ROUTE);
    await pause(SHORT_ROUTE.timeoutMs + 300);
    await beginAndLeave(daemons[0]!, 's');
    const rest = await takeUp(daemons[1]!, undefined);
    expect(rest.status).toBe(200);
    expect(writersOf(rest.body).size).toBe(LAST_EVENT - BROKEN_AFTER);
  });

  it('is refused for as long as it may have begun at a version that is gone', async () => {
    for (const id of ['v1-a', 'v2-a']) await addBackend(id);
    await startDaemons(1, SHORT_ROUTE);
    await pause(SHORT_ROUTE.timeoutMs + 300);
    listOnly(backends[0]!);
    expect((await takeUp(daemons[0]!, undefined)).status).toBe(503);
  });

  /** Two daemons, of which the first receives no list and no update any more; a stream begins at a version that only the other one lists. */
  async function beginAtNewVersion(): Promise<{ current: GatewayHarness; late: GatewayHarness }> {
    const first = await addBackend('v1-a');
    await startDaemons(2, SHORT_ROUTE);
    await pause(SHORT_ROUTE.timeoutMs + 300);
    const [late, current] = daemons;
    vi.spyOn(late!.gateway['directoryReader'], 'applyUpdate').mockImplementation(() => {});
    const second = await addBackend('v2-a');
    revision += 1;
    current!.list([recordOf(first), recordOf(second)]);
    expect(versionsIn(await beginAndLeave(current!, 's'))).toEqual(new Set(['v2']));
    return { current: current!, late: late! };
  }

  it('is refused by a daemon that cannot read whether another version has begun to serve', async () => {
    const { current, late } = await beginAtNewVersion();
    late.isStoreAnswering = false;
    current.stop();
    const refused = await takeUp(late, undefined);
    expect(refused.status).toBe(503);
    expect(refused.headers['x-error-kind']).toBe('stream_not_resumable');
  });

  it('is refused by a daemon that reads only now that another version has begun to serve', async () => {
    const { current, late } = await beginAtNewVersion();
    late.onDirectoryConfirmed = () => late.list(backends.map(recordOf));
    current.stop();
    expect((await takeUp(late, undefined)).status).toBe(503);
  });

  it('is refused by a daemon that was started after the version that began it was gone', async () => {
    for (const id of ['v1-a', 'v2-a']) await addBackend(id);
    await startDaemons(2);
    listOnly(backends[0]!);
    const begun = await beginAndLeave(daemons[0]!, 's');
    expect(versionsIn(begun)).toEqual(new Set(['v1']));
    for (const daemon of daemons.splice(0)) daemon.stop();
    backends.shift()!.stop();
    await startDaemons(1);
    const refused = await takeUp(daemons[0]!, undefined);
    expect(refused.status).toBe(503);
    expect(refused.headers['x-error-kind']).toBe('stream_not_resumable');
  });

  it('is refused by a daemon whose machine was suspended, for as long as a stream may run', async () => {
    await addBackend('v1-a');
    await startDaemons(1, SHORT_ROUTE);
    await pause(SHORT_ROUTE.timeoutMs + 300);
    expect((await takeUp(daemons[0]!, undefined)).status).toBe(200);
    // The time of day advances, the steady clock does not.
    vi.useFakeTimers({ toFake: ['Date'], now: Date.now() + SUSPENDED_MS });
    expect((await takeUp(daemons[0]!, undefined)).status).toBe(503);
    await pause(SHORT_ROUTE.timeoutMs / 2);
    expect((await takeUp(daemons[0]!, undefined)).status).toBe(503);
  });

  it('is refused after its route has moved to another service', async () => {
    await addBackend('v1-a');
    await addBackend('v2-b');
    await startDaemons(1, SHORT_ROUTE);
    const moved = { ...SHORT_ROUTE, targets: [{ service: 'other', weight: 1 }] };
    const [v1, v2] = backends.map(recordOf);
    daemons[0]!.list([v1!, { ...v2!, service: 'other' }]);
    await pause(SHORT_ROUTE.timeoutMs + 300);
    const begun = await beginAndLeave(daemons[0]!, 's');
    expect(versionsIn(begun)).toEqual(new Set(['v1']));
    daemons[0]!.configure(configurationOf(moved, 2));
    const rest = await takeUp(daemons[0]!, undefined);
    expect(versionsIn(begun, rest.body)).toEqual(new Set(['v1']));
    expect(rest.status).toBe(503);
  });

  it('is refused for as long as its route allowed it to run before a change', async () => {
    await addBackend('v1-a');
    await startDaemons(1, SHORT_ROUTE);
    await pause(SHORT_ROUTE.timeoutMs + 300);
    const begun = await beginAndLeave(daemons[0]!, 's');
    expect(versionsIn(begun)).toEqual(new Set(['v1']));
    await addBackend('v2-b');
    listOnly(backends[1]!);
    daemons[0]!.configure(configurationOf({ ...SHORT_ROUTE, timeoutMs: 200 }, 2));
    await pause(500);
    const rest = await takeUp(daemons[0]!, undefined);
    expect(versionsIn(begun, rest.body)).toEqual(new Set(['v1']));
    expect(rest.status).toBe(503);
  });

  it('goes on at a daemon that has just started, if another one has observed its version for long enough', async () => {
    for (const id of ['v1-a', 'v1-b']) await addBackend(id);
    await startDaemons(2, SHORT_ROUTE);
    await pause(SHORT_ROUTE.timeoutMs + 300);
    const begun = await beginAndLeave(daemons[0]!, 's');
    await restartFirst();
    const rest = await takeUp(daemons[0]!, undefined);
    expect(rest.status).toBe(200);
    expect(versionsIn(begun, rest.body).size).toBe(1);
  });

  it('is refused by a daemon that has just started, if another one has observed two versions', async () => {
    for (const id of ['v1-a', 'v2-a']) await addBackend(id);
    await startDaemons(2, SHORT_ROUTE);
    await pause(SHORT_ROUTE.timeoutMs + 300);
    revision += 1;
    const records = [recordOf(backends[1]!)];
    for (const daemon of daemons) daemon.list(records);
    await restartFirst(records);
    expect((await takeUp(daemons[0]!, undefined)).status).toBe(503);
  });

  it('goes on after a restart of all daemons only if one version was recorded, and no daemon has seen two', async () => {
    for (const id of ['v1-a', 'v1-b']) await addBackend(id);
    const sources = async (recorded: readonly string[]): Promise<[number, string[]]> => {
      await startDaemons(2, ROUTE, versionRecordOf(recorded));
      const { status } = await takeUp(daemons[0]!, undefined);
      const lines = daemons[0]!.lines.filter(({ event }) => event === 'stream_located');
      for (const daemon of daemons.splice(0)) daemon.stop();
      return [status, lines.map(({ fields }) => String(fields.source))];
    };
    expect(await sources(['v1'])).toEqual([200, ['sole_version_recorded']]);
    expect(await sources(['v1', 'v2'])).toEqual([503, ['none']]);
    await startDaemons(2, ROUTE, versionRecordOf(['v1']));
    const v2 = await addBackend('v2-a');
    revision += 1;
    daemons[1]!.list([...backends, v2].map(recordOf));
    expect((await takeUp(daemons[0]!, undefined)).status).toBe(503);
  });
});
