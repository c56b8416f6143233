/** Guards against streams whose origin is inferred against what the daemon itself, or another one, has seen. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import type { MemberView } from '../../src/core/membership-messages.js';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { RoutingTable } from '../../src/core/routing-table.js';
import type { StreamOrigin } from '../../src/core/stream-origins.js';
import { VIEW_MARGIN_MS, type VersionRecord } from '../../src/core/version-record.js';
import type { CallerRequest } from '../../src/gateway/caller-request.js';
import type { GatewayContext } from '../../src/gateway/gateway-context.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import type { PeerGroup } from '../../src/gateway/peer-group.js';
import { StreamResumptions } from '../../src/gateway/stream-resumptions.js';
import { SharedStore } from './shared-store.js';
import { testConfiguration, testRoute } from './gateway-harness.js';

/** Time after which a list without updates is no longer current, in milliseconds; see `service-versions.ts`. */
const INTERRUPTION_MS = 6_000;
const ROUTE = testRoute({ repeatability: 'resumable_stream', timeoutMs: 15_000 });
const SERVICE = ROUTE.targets[0]!.service;
const REQUEST = {
  path: ROUTE.pathPrefix,
  head: { attemptId: 'a', lastEventId: '2', resumedAttemptId: undefined },
} as unknown as CallerRequest;

const SELF = groupOf('self', ['self']);
/** Daemons of a larger group. */
const GROUP = Array.from({ length: 30 }, (_, index) => `daemon-${index}`);

function groupOf(
  address: string,
  addresses: readonly string[],
): Pick<PeerGroup, 'address' | 'live'> {
  return { address, live: () => addresses.map((each) => ({ address: each })) as MemberView[] };
}

let backendsAgeMs = 0;
let inferredByPeer: StreamOrigin | undefined;
/** Daemons that are asked to infer, and how many of them respond that they have observed too briefly. */
let peers = { asked: 1, answered: 1, observedTooBriefly: 0 };
let store = new SharedStore();

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['Date', 'performance', 'setInterval', 'setTimeout'] });
  backendsAgeMs = 0;
  inferredByPeer = undefined;
  peers = { asked: 1, answered: 1, observedTooBriefly: 0 };
  store = new SharedStore();
});
afterEach(() => void vi.useRealTimers());

const TABLE = new RoutingTable(testConfiguration({ routes: [ROUTE] }));

function makeResumptions(table = TABLE, group = SELF): StreamResumptions {
  const located = (): { origin: StreamOrigin; from: string; ageMs: number } | undefined =>
    inferredByPeer && { origin: inferredByPeer, from: 'peer', ageMs: 0 };
  const context = {
    streamOrigins: {
      inferAtPeers: () => Promise.resolve({ located: located(), ...peers }),
    },
    metrics: new GatewayMetrics(),
    logger: silentLogger,
    backendsAgeMs: () => backendsAgeMs,
    confirmDirectory: () => Promise.resolve(true),
  } as unknown as GatewayContext;
  const resumptions = new StreamResumptions(context, store.client(), group);
  resumptions.configure(table);
  return resumptions;
}

/** Lists backends of these versions. */
function list(resumptions: StreamResumptions, ...versions: string[]): void {
  const backends = versions.map((softwareVersion) => ({ service: SERVICE, softwareVersion }));
  resumptions.observe(backends);
  resumptions.recordListAge();
}

async function locatedVersion(resumptions: StreamResumptions): Promise<string | undefined> {
  const located = await resumptions.locate(REQUEST, ROUTE);
  return located?.origin.softwareVersion;
}

describe('an origin that another daemon infers', () => {
  beforeEach(() => (inferredByPeer = { service: SERVICE, softwareVersion: 'v1' }));

  it('is accepted by a daemon that has seen no other version', async () => {
    const resumptions = makeResumptions();
    list(resumptions, 'v1');
    expect(await locatedVersion(resumptions)).toBe('v1');
  });

  it('is not accepted if another version was seen before an interruption of the list', async () => {
    const resumptions = makeResumptions();
    list(resumptions, 'v1', 'v2');
    list(resumptions, 'v1');
    vi.advanceTimersByTime(INTERRUPTION_MS);
    list(resumptions, 'v1');
    expect(await locatedVersion(resumptions)).toBeUndefined();
    vi.advanceTimersByTime(ROUTE.timeoutMs);
    list(resumptions, 'v1');
    expect(await locatedVersion(resumptions)).toBe('v1');
  });

  it('is not accepted if another version was seen and the list is interrupted', async () => {
    const resumptions = makeResumptions();
    list(resumptions, 'v1', 'v2');
    list(resumptions, 'v1');
    vi.advanceTimersByTime(INTERRUPTION_MS);
    expect(await locatedVersion(resumptions)).toBeUndefined();
  });

  it('is not accepted if the route had another service while the stream may have run', async () => {
    const resumptions = makeResumptions();
    list(resumptions, 'v1');
    const { services } = testConfiguration();
    const others = services.map((service) => ({ ...service, name: 'other' }));
    const moved = { ...ROUTE, targets: [{ service: 'other', weight: 1 }] };
    const configuration = testConfiguration({
      routes: [moved],
      services: [...services, ...others],
    });
    resumptions.configure(new RoutingTable(configuration, undefined));
    expect(await locatedVersion(resumptions)).toBeUndefined();
  });
});

describe('the record of versions in the store', () => {
  const TICK_MS = 100;
  /** Time after which a daemon has recorded that one version is in service. */
  const RECORDED_MS = ROUTE.timeoutMs + VIEW_MARGIN_MS + 1_000;
  const KEY = 'softwareVersions/all';
  /** Most reads for one configuration, by all daemons together. */
  const MAX_READS = 4;

  beforeEach(() => (peers = { asked: 0, answered: 0, observedTooBriefly: 0 }));

  async function run(milliseconds: number, ...daemons: StreamResumptions[]): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += TICK_MS) {
      for (const daemon of daemons) daemon.recordListAge();
      await vi.advanceTimersByTimeAsync(TICK_MS);
    }
  }

  /** Starts a daemon that lists these versions. */
  async function start(...versions: string[]): Promise<StreamResumptions> {
    const daemon = makeResumptions();
    list(daemon, ...versions);
    await run(TICK_MS, daemon);
    return daemon;
  }

  /** Records that a version has been the only one in service for long. */
  async function recordSole(version: string): Promise<StreamResumptions> {
    const daemon = await start(version);
    await run(RECORDED_MS, daemon);
    return daemon;
  }

  async function resume(daemon: StreamResumptions): Promise<string | undefined> {
    const located = locatedVersion(daemon);
    await vi.advanceTimersByTimeAsync(300);
    return located;
  }

  function recordedVersions(): readonly (string | null)[] | undefined {
    return (store.records.get(KEY)?.value as VersionRecord | undefined)?.services[0]?.versions;
  }

  it('lets a stream go on after a restart of all daemons, if one version was in service', async () => {
    await recordSole('v1');
    expect(await resume(await start('v1'))).toBe('v1');
  });

  it('is read before a stream is refused that is resumed right after the start', async () => {
    await recordSole('v1');
    const daemon = makeResumptions();
    const located = locatedVersion(daemon);
    list(daemon, 'v1');
    await vi.advanceTimersByTimeAsync(300);
    expect(await located).toBe('v1');
  });

  it('lets no stream go on after a restart of all daemons, if its version has left', async () => {
    const former = await recordSole('v1');
    list(former, 'v1', 'v2');
    await run(1_000, former);
    list(former, 'v2');
    await run(1_000, former);
    expect(recordedVersions()).toEqual(['v1', 'v2']);
    expect(await resume(await start('v2'))).toBeUndefined();
  });

  it('lets no stream go on if another version came during the restart', async () => {
    await recordSole('v1');
    expect(await resume(await start('v2'))).toBeUndefined();
    expect(await resume(await start('v1', 'v2'))).toBeUndefined();
  });

  it('forgets a version whose streams have ended', async () => {
    const former = await recordSole('v1');
    list(former, 'v1', 'v2');
    await run(1_000, former);
    list(former, 'v2');
    await run(RECORDED_MS + 1_000, former);
    expect(recordedVersions()).toEqual(['v2']);
    expect(await resume(await start('v2'))).toBe('v2');
  });

  it('is not written by a daemon that has observed too briefly', async () => {
    const daemon = await start('v1');
    await run(ROUTE.timeoutMs, daemon);
    vi.setSystemTime(Date.now() + 60_000);
    await run(ROUTE.timeoutMs + VIEW_MARGIN_MS - 1_000, daemon);
    expect(store.writes).toBe(0);
    await run(2_000, daemon);
    expect(recordedVersions()).toEqual(['v1']);
  });

  it('proves nothing after the store was restored from a copy', async () => {
    await recordSole('v1');
    store.restoreCopy();
    expect(await resume(await start('v1'))).toBeUndefined();
  });

  it('is written in a new era of the store by a daemon that has observed for long enough in it', async () => {
    const former = await recordSole('v1');
    store.restoreCopy();
    await run(ROUTE.timeoutMs + VIEW_MARGIN_MS - 1_000, former);
    expect((store.records.get(KEY)?.value as VersionRecord).era).toBe(store.era - 1);
    await run(2_000, former);
    expect((store.records.get(KEY)?.value as VersionRecord).era).toBe(store.era);
  });

  it('proves nothing if the store was restored after the read', async () => {
    await recordSole('v1');
    const daemon = await start('v1');
    store.restoreCopy();
    expect(await resume(daemon)).toBeUndefined();
  });

  it('proves nothing after a suspension of the machine, until it is read again', async () => {
    await recordSole('v1');
    const daemon = await start('v1');
    store.fault = 'unavailable';
    vi.setSystemTime(Date.now() + 60_000);
    expect(await resume(daemon)).toBeUndefined();
    await run(2_000, daemon);
    expect(await resume(daemon)).toBeUndefined();
    store.fault = 'none';
    await run(2_000, daemon);
    expect(await resume(daemon)).toBe('v1');
  });

  it('proves nothing after a suspension of the machine if another version came meanwhile', async () => {
    await recordSole('v1');
    const daemon = await start('v1');
    vi.setSystemTime(Date.now() + 60_000);
    const value = store.records.get(KEY)?.value as VersionRecord;
    const services = value.services.map((entry) => ({ ...entry, versions: ['v1', 'v2'] }));
    store.put(KEY, { ...value, services });
    expect(await resume(daemon)).toBeUndefined();
    await run(2_000, daemon);
    expect(await resume(daemon)).toBeUndefined();
  });

  it('is read at most once a second for all resumptions of a daemon', async () => {
    await recordSole('v1');
    const daemon = await start('v1');
    const { reads } = store;
    for (let count = 0; count < 50; count += 1) {
      await run(TICK_MS, daemon);
      expect(await locatedVersion(daemon)).toBe('v1');
    }
    expect(store.reads - reads).toBeLessThanOrEqual(5);
  });

  it('proves nothing if another daemon responds that it has seen several versions', async () => {
    await recordSole('v1');
    const daemon = await start('v1');
    peers = { asked: 2, answered: 2, observedTooBriefly: 1 };
    expect(await resume(daemon)).toBeUndefined();
    peers = { asked: 2, answered: 2, observedTooBriefly: 2 };
    expect(await resume(daemon)).toBe('v1');
  });

  it('proves nothing after a move of the route that the record lacks', async () => {
    await recordSole('v1');
    const { services } = testConfiguration();
    const others = services.map((service) => ({ ...service, name: 'other' }));
    const moved = { ...ROUTE, targets: [{ service: 'other', weight: 1 }] };
    const configuration = testConfiguration({
      routes: [moved],
      services: [...services, ...others],
    });
    const daemon = makeResumptions(new RoutingTable(configuration));
    daemon.observe([{ service: 'other', softwareVersion: 'v1' }]);
    await run(TICK_MS, daemon);
    expect(await resume(daemon)).toBeUndefined();
  });

  it('is not waited for while the store is unavailable, and read later', async () => {
    await recordSole('v1');
    store.fault = 'unavailable';
    const daemon = await start('v1');
    expect(await resume(daemon)).toBeUndefined();
    store.fault = 'none';
    await run(1_000, daemon);
    expect(await resume(daemon)).toBe('v1');
  });

  it('is read again after a write whose response was lost', async () => {
    const former = await recordSole('v1');
    store.fault = 'lost';
    list(former, 'v1', 'v2');
    await run(1_000, former);
    store.fault = 'none';
    await run(10_000, former);
    expect(recordedVersions()).toEqual(['v1', 'v2']);
    const { writes } = store;
    await run(5_000, former);
    expect(store.writes).toBe(writes);
  });

  it('contains the versions of two daemons that write at the same time', async () => {
    const former = await recordSole('v1');
    store.afterRead = () => {
      store.afterRead = undefined;
      const value = store.records.get(KEY)?.value as VersionRecord;
      const services = value.services.map((entry) => ({ ...entry, versions: ['v1', 'v3'] }));
      store.put(KEY, { ...value, services });
    };
    list(former, 'v1', 'v2');
    await run(2_000, former);
    expect(recordedVersions()).toEqual(['v1', 'v2', 'v3']);
  });

  it('costs one read for a start, and nothing while the same versions are in service', async () => {
    await recordSole('v1');
    const { reads, writes } = store;
    const daemon = await start('v1');
    await run(20_000, daemon);
    expect(store.reads - reads).toBe(1);
    expect(store.writes - writes).toBe(0);
  });

  it('is read by a few of many daemons when a configuration changes, and written by one', async () => {
    await recordSole('v1');
    const daemons = GROUP.map((address) => makeResumptions(TABLE, groupOf(address, GROUP)));
    for (const daemon of daemons) list(daemon, 'v1');
    await run(5_000, ...daemons);
    const { reads, writes } = store;
    const route = { ...ROUTE, name: 'new', pathPrefix: '/new/' };
    const table = new RoutingTable(testConfiguration({ routes: [ROUTE, route] }));
    for (const daemon of daemons) daemon.configure(table);
    await run(5_000, ...daemons);
    expect((store.records.get(KEY)?.value as VersionRecord).rules).toHaveLength(2);
    expect(store.reads - reads).toBeLessThanOrEqual(MAX_READS);
    expect(store.writes - writes).toBe(1);
  });

  describe('in a group of daemons', () => {
    const RANKED = rankCandidates('software-versions', GROUP);
    const FRESH = { asked: 4, answered: 4, observedTooBriefly: 4 };

    function startAll(...addresses: string[]): StreamResumptions[] {
      return addresses.map((address) => makeResumptions(TABLE, groupOf(address, GROUP)));
    }

    it('receives a version that only daemons have seen that do not rank first', async () => {
      await recordSole('v1');
      const first = startAll(...RANKED.slice(0, 4));
      const others = startAll(...RANKED.slice(4));
      for (const daemon of [...first, ...others]) list(daemon, 'v1');
      await run(1_000, ...first, ...others);
      // The first four end; the version comes and leaves before they are back.
      for (const daemon of others) list(daemon, 'v1', 'v2');
      await run(1_000, ...others);
      for (const daemon of others) list(daemon, 'v1');
      const restarted = startAll(...RANKED.slice(0, 4));
      for (const daemon of restarted) list(daemon, 'v1');
      await run(5_000, ...restarted, ...others);
      expect.soft(recordedVersions()).toEqual(['v1', 'v2']);
      // All end. The stream has begun at v2 less than its 15 s ago.
      peers = FRESH;
      expect(await resume(await start('v1'))).not.toBe('v1');
    });

    it('receives a version while the four daemons that rank first do not reach the store', async () => {
      await recordSole('v1');
      const first = startAll(...RANKED.slice(0, 4));
      const others = startAll(...RANKED.slice(4));
      for (const daemon of [...first, ...others]) list(daemon, 'v1');
      await run(1_000, ...first, ...others);
      for (const daemon of others) list(daemon, 'v1', 'v2');
      await run(8_000, ...others);
      expect(recordedVersions()).toEqual(['v1', 'v2']);
    });

    it('proves nothing to a daemon that has read it before a version was added that had left', async () => {
      const former = await recordSole('v1');
      store.fault = 'unavailable';
      list(former, 'v1', 'v2');
      await run(500, former);
      list(former, 'v1');
      await run(500, former);
      store.fault = 'none';
      // Another daemon starts beside the former one, which has not yet written.
      const daemon = makeResumptions(TABLE, groupOf(RANKED[5]!, GROUP));
      list(daemon, 'v1');
      await run(TICK_MS, daemon);
      expect(recordedVersions()).toEqual(['v1']);
      await run(3_000, former, daemon);
      expect(recordedVersions()).toEqual(['v1', 'v2']);
      // The former daemon is not among the four that are asked, or has ended.
      peers = FRESH;
      expect(await resume(daemon)).not.toBe('v1');
    });

    it('receives a version again that came back just before a daemon removed it and ended', async () => {
      const pair = GROUP.slice(0, 2);
      const [first, second] = rankCandidates('software-versions', pair).map((address) =>
        makeResumptions(TABLE, groupOf(address, pair)),
      ) as [StreamResumptions, StreamResumptions];
      for (const daemon of [first, second]) list(daemon, 'v1', 'v2');
      await run(RECORDED_MS, first, second);
      for (const daemon of [first, second]) list(daemon, 'v1');
      await run(ROUTE.timeoutMs + VIEW_MARGIN_MS - 200, first, second);
      expect(recordedVersions()).toEqual(['v1', 'v2']);
      list(second, 'v1', 'v2');
      await run(3_000, first, second);
      // The first one, whose list is less than 5 s later, ends.
      await run(5_000, second);
      expect.soft(recordedVersions()).toEqual(['v1', 'v2']);
      list(second, 'v1');
      await run(1_000, second);
      peers = FRESH;
      expect(await resume(await start('v1'))).not.toBe('v1');
    });

    it('receives a version again that came back while the removal of a paused daemon was under way', async () => {
      const pair = rankCandidates('software-versions', GROUP.slice(0, 2));
      const client = store.client();
      let held: (() => unknown) | undefined;
      let isPaused = false;
      vi.spyOn(store, 'client').mockReturnValueOnce({
        ...client,
        write: (...parts) => {
          if (!isPaused) return client.write(...parts);
          held = () => client.write(...parts);
          return new Promise(() => {});
        },
      });
      const first = makeResumptions(TABLE, groupOf(pair[0]!, pair));
      const second = makeResumptions(TABLE, groupOf(pair[1]!, pair));
      for (const daemon of [first, second]) list(daemon, 'v1', 'v2');
      await run(RECORDED_MS, first, second);
      expect(recordedVersions()).toEqual(['v1', 'v2']);
      for (const daemon of [first, second]) list(daemon, 'v1');
      await run(ROUTE.timeoutMs + VIEW_MARGIN_MS - 1_000, first, second);
      isPaused = true;
      while (held === undefined) await run(TICK_MS, first);
      // The first one is paused. The version is used again before its write arrives, and the first one ends.
      list(second, 'v1', 'v2');
      await run(10_000, second);
      held();
      await run(5_000, second);
      expect.soft(recordedVersions()).toEqual(['v1', 'v2']);
      list(second, 'v1');
      await run(1_000, second);
      peers = FRESH;
      expect(await resume(await start('v1'))).not.toBe('v1');
    });

    it('receives a route from a daemon that has read it long ago, once it moves up in rank', async () => {
      await recordSole('v1');
      let live = GROUP;
      const last = makeResumptions(TABLE, {
        address: RANKED[4]!,
        live: () => live.map((address) => ({ address })) as MemberView[],
      });
      list(last, 'v1');
      await run(1_000, last);
      const route = { ...ROUTE, name: 'new', pathPrefix: '/new/' };
      last.configure(new RoutingTable(testConfiguration({ routes: [ROUTE, route] })));
      await run(1_000, last);
      const value = store.records.get(KEY)?.value as VersionRecord;
      expect(value.rules).toHaveLength(1);
      const services = value.services.map((entry) => ({ ...entry, versions: ['v1', 'v3'] }));
      store.put(KEY, { ...value, services });
      live = RANKED.slice(1);
      await run(2_000, last);
      expect(recordedVersions()).toEqual(['v1', 'v3']);
      expect((store.records.get(KEY)?.value as VersionRecord).rules).toHaveLength(2);
    });

    it('receives a version from a daemon whose list is interrupted right after it was seen', async () => {
      await recordSole('v1');
      const daemon = makeResumptions(TABLE, groupOf('self', ['self']));
      list(daemon, 'v1');
      await run(1_000, daemon);
      store.fault = 'unavailable';
      list(daemon, 'v1', 'v2');
      await run(500, daemon);
      list(daemon, 'v1');
      backendsAgeMs = INTERRUPTION_MS;
      await run(500, daemon);
      store.fault = 'none';
      for (let passed = 0; passed < 8_000; passed += TICK_MS) {
        backendsAgeMs += TICK_MS;
        await run(TICK_MS, daemon);
      }
      expect(recordedVersions()).toEqual(['v1', 'v2']);
    });

    it('lets a stream of a new route go on at a daemon that does not rank first', async () => {
      await recordSole('v1');
      const last = makeResumptions(TABLE, groupOf(RANKED[9]!, GROUP));
      const first = makeResumptions(TABLE, groupOf(RANKED[0]!, GROUP));
      list(last, 'v1');
      list(first, 'v1');
      await run(500, last, first);
      const route = { ...ROUTE, name: 'new', pathPrefix: '/new/' };
      const table = new RoutingTable(testConfiguration({ routes: [ROUTE, route] }));
      for (const daemon of [last, first]) daemon.configure(table);
      await run(2_000, last, first);
      peers = FRESH;
      const request = { ...REQUEST, path: '/new/x' } as CallerRequest;
      const results = await Promise.all(
        [last, first].map((daemon) => daemon.locate(request, route)),
      );
      expect(results.map((located) => located?.origin.softwareVersion)).toEqual(['v1', 'v1']);
    });

    it('does not interrupt the daemon after many configurations of many routes', async () => {
      const routes = Array.from({ length: 2_000 }, (_, index) => ({
        ...ROUTE,
        name: `route-${index}`,
        pathPrefix: `/${index}/`,
      }));
      const table = new RoutingTable(testConfiguration({ routes }));
      const daemon = makeResumptions(table);
      list(daemon, 'v1');
      await run(RECORDED_MS, daemon);
      for (let count = 0; count < 64; count += 1) daemon.configure(table);
      for (let passed = 0; passed < 2_000; passed += TICK_MS) {
        expect(() => daemon.recordListAge()).not.toThrow();
        await vi.advanceTimersByTimeAsync(TICK_MS);
      }
    });
  });
});
