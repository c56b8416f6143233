import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { MAX_REPLACED_BYTES } from '../../src/core/replaced-rules.js';
import { RouteHistory, type PathRule } from '../../src/core/route-history.js';
import { RoutingTable } from '../../src/core/routing-table.js';
import type { Route } from '../../src/core/service-configuration.js';
import { testConfiguration, testRoute } from '../gateway/gateway-harness.js';

const PATH = '/work/stream';
const { host } = testRoute();

/** A table in which the path has one route to some services. */
function tableOf(timeoutMs: number, ...services: string[]): RoutingTable {
  const targets = services.map((service) => ({ service, weight: 1 }));
  return new RoutingTable(testConfiguration({ routes: [testRoute({ timeoutMs, targets })] }));
}

/** A table with the route of `tableOf` and many others, which differ between tables with another number. */
function largeTableOf(number: number, timeoutMs: number, ...services: string[]): RoutingTable {
  const targets = services.map((service) => ({ service, weight: 1 }));
  const others = Array.from({ length: 6_000 }, (_, index) =>
    testRoute({ host: 'others.test', pathPrefix: `/unit${index}/`, timeoutMs: timeoutMs - number }),
  );
  const routes = [testRoute({ timeoutMs, targets }), ...others];
  return new RoutingTable(testConfiguration({ routes }));
}

describe('the scope of the streams of a path', () => {
  it('is the service and the time of its route', () => {
    const routes = new RouteHistory();
    expect(routes.scopeOf(host, PATH, 0)).toBeUndefined();
    routes.replace(tableOf(10_000, 'a'), 0);
    expect(routes.scopeOf(host, PATH, 0)).toEqual({ service: 'a', timeoutMs: 10_000 });
    expect(routes.scopeOf(host, '/other', 0)).toBeUndefined();
    routes.replace(tableOf(10_000, 'a', 'b'), 1_000);
    expect(routes.scopeOf(host, PATH, 60_000)).toBeUndefined();
  });

  it('is unknown while streams of the route may have begun at another service', () => {
    const routes = new RouteHistory();
    routes.replace(tableOf(10_000, 'a'), 0);
    routes.replace(tableOf(2_000, 'b'), 50_000);
    expect(routes.scopeOf(host, PATH, 60_000)).toBeUndefined();
    expect(routes.scopeOf(host, PATH, 60_001)).toEqual({ service: 'b', timeoutMs: 2_000 });
  });

  it('keeps the longest time that its streams were allowed', () => {
    const routes = new RouteHistory();
    routes.replace(tableOf(10_000, 'a'), 0);
    routes.replace(tableOf(2_000, 'a'), 50_000);
    routes.replace(tableOf(1_000, 'a'), 50_100);
    expect(routes.scopeOf(host, PATH, 60_000)?.timeoutMs).toBe(10_000);
    expect(routes.scopeOf(host, PATH, 60_001)?.timeoutMs).toBe(1_000);
  });

  it('is unknown while streams of routes may run that were deleted', () => {
    const routes = new RouteHistory();
    routes.replace(largeTableOf(0, 10_000, 'b'), 0);
    for (let change = 1; change <= 20; change++)
      routes.replace(largeTableOf(change, 10_000, 'a'), change);
    expect(routes.scopeOf(host, PATH, 9_000)).toBeUndefined();
    expect(routes.unknownUntil).toBeGreaterThan(9_000);
    expect(routes.scopeOf(host, PATH, routes.unknownUntil)).toBeUndefined();
    expect(routes.scopeOf(host, PATH, 10_021)).toEqual({ service: 'a', timeoutMs: 10_000 });
  });

  it('is known however often others change', () => {
    const routes = new RouteHistory();
    for (let change = 0; change <= 1_000; change++) {
      const other = testRoute({ host: 'others.test', timeoutMs: 10_000 + change });
      const route = testRoute({ targets: [{ service: 'a', weight: 1 }] });
      routes.replace(new RoutingTable(testConfiguration({ routes: [route, other] })), change);
    }
    expect(routes.scopeOf(host, PATH, 1_000)?.service).toBe('a');
  });

  it('does not depend on a route that another one with a longer prefix hid', () => {
    const routes = new RouteHistory();
    const outer = testRoute({ pathPrefix: '/', targets: [{ service: 'b', weight: 1 }] });
    const inner = testRoute({ timeoutMs: 9_000, targets: [{ service: 'a', weight: 1 }] });
    const tableWith = (timeoutMs: number): RoutingTable =>
      new RoutingTable(testConfiguration({ routes: [{ ...outer, timeoutMs }, inner] }));
    routes.replace(tableWith(5_000), 0);
    routes.replace(tableWith(4_000), 1_000);
    expect(routes.scopeOf(host, PATH, 1_000)).toEqual({ service: 'a', timeoutMs: 9_000 });
    routes.replace(new RoutingTable(testConfiguration({ routes: [outer] })), 2_000);
    expect(routes.scopeOf(host, PATH, 2_000)).toBeUndefined();
  });

  it('covers all configurations under which streams may run, or is unknown', () => {
    const prefixes = ['/', '/work/', '/work/stream/'];
    const route = fc.record({
      pathPrefix: fc.constantFrom(...prefixes),
      timeoutMs: fc.constantFrom(100, 300, 1_000),
      services: fc.constantFrom(['a'], ['b'], ['a', 'b']),
    });
    const versions = fc.array(
      fc.record({
        routes: fc.uniqueArray(route, { selector: ({ pathPrefix }) => pathPrefix }),
        forMs: fc.integer({ min: 1, max: 400 }),
      }),
      { minLength: 1, maxLength: 12 },
    );
    fc.assert(
      fc.property(versions, fc.integer({ min: 0, max: 1_200 }), (history, waitMs) => {
        const routes = new RouteHistory();
        const tables: DatedTable[] = [];
        let now = 0;
        for (const version of history) {
          const table = new RoutingTable(
            testConfiguration({
              routes: version.routes.map(({ services, ...fields }) =>
                testRoute({
                  ...fields,
                  targets: services.map((service) => ({ service, weight: 1 })),
                }),
              ),
            }),
          );
          routes.replace(table, now);
          tables.push({ table, until: now + version.forMs });
          now += version.forMs;
        }
        const last = tables.at(-1)!;
        tables.splice(-1, 1, { ...last, until: Infinity });
        const path = '/work/stream/1';
        const possible = routesOfTables(tables, path, now + waitMs);
        const scope = routes.scopeOf(host, path, now + waitMs);
        if (scope === undefined) return;
        for (const { targets, timeoutMs } of possible) {
          expect(targets.map(({ service }) => service)).toEqual([scope.service]);
          expect(scope.timeoutMs).toBeGreaterThanOrEqual(timeoutMs);
        }
      }),
      { numRuns: 2_000 },
    );
  });
});

describe('the rules under which streams may run', () => {
  it('are those of all tables whose streams may run', () => {
    const routes = new RouteHistory();
    expect(routes.rules(0)).toBeUndefined();
    const ruleOf = (timeoutMs: number, ...services: string[]): PathRule => {
      return { host, pathPrefix: testRoute().pathPrefix, services, timeoutMs };
    };
    routes.replace(tableOf(10_000, 'a'), 0);
    routes.replace(tableOf(2_000, 'c', 'b'), 50_000);
    expect(routes.rules(60_000)).toEqual([ruleOf(2_000, 'b', 'c'), ruleOf(10_000, 'a')]);
    expect(routes.rules(60_001)).toEqual([ruleOf(2_000, 'b', 'c')]);
  });

  it('are unknown while streams of routes may run that were deleted', () => {
    const routes = new RouteHistory();
    for (let change = 0; change <= 20; change++)
      routes.replace(largeTableOf(change, 10_000, 'a'), change);
    expect(routes.rules(9_000)).toBeUndefined();
    expect(routes.rules(10_021)).toHaveLength(6_001);
  });

  it('are unknown if they are more than asked for', () => {
    const routes = new RouteHistory();
    routes.replace(largeTableOf(0, 10_000, 'a'), 0);
    expect(routes.rules(0, 6_001)).toHaveLength(6_001);
    expect(routes.rules(0, 6_000)).toBeUndefined();
  });

  it('contain a route once that was in force several times', () => {
    const routes = new RouteHistory();
    for (let change = 0; change <= 5; change++)
      routes.replace(tableOf(change % 2 === 0 ? 10_000 : 9_000, 'a'), change);
    expect(routes.rules(5)).toHaveLength(2);
  });
});

describe('the memory of replaced configurations', () => {
  it('does not grow with the number of routes that a version leaves as they are', () => {
    const routes = new RouteHistory();
    for (let change = 0; change <= 200; change++) {
      const others = largeTableOf(0, 10_000, 'a').configuration.routes.slice(1);
      const changed = testRoute({ timeoutMs: 20_000 + change });
      routes.replace(new RoutingTable(testConfiguration({ routes: [changed, ...others] })), change);
    }
    expect(routes.replacedBytes).toBeLessThan(200 * 1_024);
  });

  it('is bounded however many routes change', () => {
    const routes = new RouteHistory();
    for (let change = 0; change <= 50; change++) {
      routes.replace(largeTableOf(change, 10_000, 'a'), change);
      expect(routes.replacedBytes).toBeLessThanOrEqual(MAX_REPLACED_BYTES);
    }
  });

  it('is freed once no stream can run any more', () => {
    const routes = new RouteHistory();
    for (let change = 0; change <= 2; change++)
      routes.replace(largeTableOf(change, 10_000, 'a'), change);
    routes.rules(10_003);
    expect(routes.replacedBytes).toBe(0);
  });
});

interface DatedTable {
  readonly table: RoutingTable;
  readonly until: number;
}

/** The routes under which streams of a path may run, by all tables: the reference. */
function routesOfTables(tables: readonly DatedTable[], path: string, now: number): Route[] {
  return tables.flatMap(({ table, until }) => {
    const route = table.route(host, path);
    return route !== undefined && until + route.timeoutMs >= now ? [route] : [];
  });
}
