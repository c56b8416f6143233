/* Guards against a process that changes of a large configuration end or fill. */
import { afterEach, beforeAll, describe, expect, it } from 'vitest';
import { sleep } from '../../src/common/process.js';
import { buildObservedGateway, MEGABYTE, ObservedGateway } from './observed-gateway.js';

/** Together about 1 MB in JSON, which is the largest object that the store takes. */
const ROUTES = 6_000;
const VERSIONS = 100;
/** Time between two versions, in milliseconds: the gateway gets most of them one by one. */
const GAP_MS = 100;
/** As long as streams may run, so that all versions of a test count for the streams that are resumed. */
const TIMEOUT_MS = 25_000;
/** Most memory of a daemon for all that is not requests, in bytes (the target of the operators). */
const MEMORY_TARGET = 64 * MEGABYTE;
/** Longest time until a change is in force, in milliseconds (the target of the operators). */
const CHANGE_TARGET_MS = 4_000;
/** Together larger than any reply of a store that is read. */
const PAUSE_VERSIONS = 20;
const MACHINE = { memoryMegabytes: 160, descriptors: 4_100, maxBodyBytes: 4 * MEGABYTE };

/** Returns the routes of a version; `isChanged` tells which of them have another time-out than in the version before. */
function routesOf(
  version: number,
  isChanged: (index: number, version: number) => boolean,
): object[] {
  return Array.from({ length: ROUTES }, (_, index) => ({
    name: `r-${index}`,
    host: `tenant${index % 50}.example`,
    pathPrefix: `/unit${index}/`,
    kind: 'idempotent',
    timeoutMs: TIMEOUT_MS - (isChanged(index, version) ? version : 0),
    goalMs: 2_500,
    priority: 3,
    service: 'plain',
    maxAttempts: 2,
  }));
}

describe('a gateway with a large configuration', () => {
  let gateway: ObservedGateway;

  beforeAll(() => buildObservedGateway());

  afterEach(() => gateway.stop());

  /** Stores many versions, and checks that the process bears them and applies the last one. */
  async function change(isChanged: (index: number, version: number) => boolean): Promise<void> {
    gateway = new ObservedGateway(MACHINE);
    await gateway.start();
    gateway.configure(2, routesOf(2, isChanged));
    await untilVersion(2);
    const before = gateway.peakBytes ?? Infinity;
    for (let version = 3; version <= VERSIONS; version++) {
      gateway.configure(version, routesOf(version, isChanged));
      await sleep(GAP_MS);
    }
    await untilVersion(VERSIONS);
    expect(gateway.end).toBeUndefined();
    expect((gateway.peakBytes ?? Infinity) - before).toBeLessThan(MEMORY_TARGET);
    expect(await gateway.untilServed()).toBe(true);
  }

  async function untilVersion(version: number): Promise<void> {
    const isApplied = async (): Promise<boolean> =>
      (await gateway.metric('scaleslip_gateway_configuration_version')) >= version;
    while (gateway.end === undefined && !(await isApplied())) await sleep(GAP_MS);
  }

  it('does not run out of memory when one route of many changes again and again', async () => {
    await change((index, version) => index === version);
  }, 60_000);

  it('does not run out of memory when all routes change again and again', async () => {
    await change(() => true);
  }, 60_000);

  it('does not miss a version because a paused process has too many changes to read', async () => {
    gateway = new ObservedGateway(MACHINE);
    await gateway.start();
    gateway.configure(
      2,
      routesOf(2, () => false),
    );
    await untilVersion(2);
    gateway.signal('SIGSTOP');
    for (let version = 3; version <= PAUSE_VERSIONS; version++)
      gateway.configure(
        version,
        routesOf(version, () => false),
      );
    gateway.signal('SIGCONT');
    const resumedAt = performance.now();
    await Promise.race([untilVersion(PAUSE_VERSIONS), sleep(2 * CHANGE_TARGET_MS)]);
    expect(performance.now() - resumedAt).toBeLessThan(CHANGE_TARGET_MS);
    expect(await gateway.untilServed()).toBe(true);
  }, 60_000);
});
