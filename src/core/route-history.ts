/**
 * Determines where a stream can have begun that is resumed on a route, from the configurations that were in force while it may have
 * run. The route may since have moved to another service or may now allow less time. Of replaced configurations only the rules that
 * later ones lack are kept. No I/O; times are milliseconds of a monotonic clock.
 */
import { ReplacedRules } from './replaced-rules.js';
import type { Route } from './service-configuration.js';
import type { RoutingTable } from './routing-table.js';

/** What is known of the streams of one path that may still run or have just ended. */
export interface StreamScope {
  /** The only service at which they can have begun. */
  readonly service: string;
  /** Longest time for which they were allowed to run, in milliseconds. */
  readonly timeoutMs: number;
}

/** Where the requests of some paths were sent, and for how long their streams were allowed to run. */
export interface PathRule {
  readonly host: string;
  readonly pathPrefix: string;
  /** Sorted. */
  readonly services: readonly string[];
  readonly timeoutMs: number;
}

/** A rule, and when it was in force. */
export interface DatedRule {
  readonly rule: PathRule;
  /** Earliest time at which the rule may have been in force. */
  readonly firstSince: number;
  /** Time since which it was in force without an interruption. */
  readonly lastSince: number;
  /** Time at which it was replaced; infinite if it is in force. */
  readonly until: number;
}

/** A route of the current configuration. */
interface CurrentRoute {
  readonly route: Route;
  /** Time since which its rule has been in force. */
  readonly since: number;
}

/** Routes by host and path prefix. */
type CurrentRoutes = Map<string, Map<string, CurrentRoute>>;

/** A list of all rules, which is unchanged up to a time. */
interface RuleList {
  readonly rules: readonly PathRule[];
  readonly validUntil: number;
}

/** The rules of one daemon's configurations, back to the oldest under which streams may still run. */
export class RouteHistory {
  private current: CurrentRoutes = new Map();
  private readonly replaced = new ReplacedRules();
  private list: RuleList | undefined;

  /** Estimated memory of the rules of replaced configurations, in bytes. */
  get replacedBytes(): number {
    return this.replaced.bytes;
  }

  /** Time until which the origin of streams is unknown, because rules were deleted to bound the memory. */
  get unknownUntil(): number {
    return this.replaced.incompleteUntil;
  }

  /** Records that a table is in force now. */
  replace(table: RoutingTable, now: number): void {
    this.replaced.deleteExpired(now);
    const previous = this.current;
    this.current = currentRoutes(table, previous, now);
    for (const routes of previous.values()) {
      for (const entry of routes.values()) {
        const rule = ruleOf(entry.route);
        if (!this.isCurrent(rule)) this.replaced.add(rule, entry.since, now);
      }
    }
    this.list = undefined;
  }

  /** Returns the scope of the streams of a path; undefined if they can have begun at several services. */
  scopeOf(host: string, path: string, now: number): StreamScope | undefined {
    if (this.replaced.isIncomplete(now)) return undefined;
    const dated = [...this.currentRules(host, path), ...this.replaced.matching(host, path)];
    const rules = dated.filter((rule) => mayHaveStreams(rule, dated, now)).map(({ rule }) => rule);
    const services = new Set(rules.flatMap((rule) => rule.services));
    const [service] = services;
    if (service === undefined || services.size > 1) return undefined;
    return { service, timeoutMs: Math.max(...rules.map(({ timeoutMs }) => timeoutMs)) };
  }

  /**
   * Returns the rules under which streams may run, each once; undefined if they are not all known, or more than a number. The list is the
   * same object until it changes.
   */
  rules(now: number, maxRules = Infinity): readonly PathRule[] | undefined {
    if (this.current.size === 0 || this.replaced.isIncomplete(now)) return undefined;
    if (this.currentCount() > maxRules) return undefined;
    if (this.list === undefined || now > this.list.validUntil) this.list = this.listRules(now);
    return this.list.rules.length > maxRules ? undefined : this.list.rules;
  }

  private currentCount(): number {
    return [...this.current.values()].reduce((count, routes) => count + routes.size, 0);
  }

  private listRules(now: number): RuleList {
    this.replaced.deleteExpired(now);
    const entries = [...this.current.values()].flatMap((routes) => [...routes.values()]);
    const current = entries.map(({ route }) => ruleOf(route));
    return {
      rules: [...current, ...this.replaced.all().filter((rule) => !this.isCurrent(rule))],
      validUntil: this.replaced.firstExpiry(),
    };
  }

  private isCurrent(rule: PathRule): boolean {
    const found = this.current.get(rule.host)?.get(rule.pathPrefix);
    return found !== undefined && isSameRule(ruleOf(found.route), rule);
  }

  private currentRules(host: string, path: string): DatedRule[] {
    const routes = [...(this.current.get(host)?.values() ?? [])];
    const matching = routes.filter(({ route }) => path.startsWith(route.pathPrefix));
    return matching.map(({ route, since }) => {
      return { rule: ruleOf(route), firstSince: since, lastSince: since, until: Infinity };
    });
  }
}

/** Returns the routes of a table; those of rules that were in force before keep their time. */
function currentRoutes(table: RoutingTable, previous: CurrentRoutes, now: number): CurrentRoutes {
  const current: CurrentRoutes = new Map();
  for (const route of table.configuration.routes) {
    const { host, pathPrefix } = route;
    const routes = current.get(host) ?? new Map<string, CurrentRoute>();
    current.set(host, routes);
    // Of several routes with the same host and prefix the first one is in force.
    if (routes.has(pathPrefix)) continue;
    const known = previous.get(host)?.get(pathPrefix);
    const isSame = known !== undefined && isSameRule(ruleOf(known.route), ruleOf(route));
    routes.set(pathPrefix, { route, since: isSame ? known.since : now });
  }
  return current;
}

/** Whether two rules of the same host and path prefix are the same. */
function isSameRule(a: PathRule, b: PathRule): boolean {
  if (a.timeoutMs !== b.timeoutMs || a.services.length !== b.services.length) return false;
  return a.services.every((service, index) => service === b.services[index]);
}

function ruleOf(route: Route): PathRule {
  const { host, pathPrefix, timeoutMs } = route;
  return { host, pathPrefix, services: servicesOf(route), timeoutMs };
}

function servicesOf({ targets }: Route): string[] {
  const services = targets.map(({ service }) => service);
  return services.length > 1 ? services.sort() : services;
}

/**
 * Whether streams may run that have begun under a rule for a path. While a rule with a longer prefix was in force, none began under it.
 *
 * @param matching - All rules that match the path.
 */
function mayHaveStreams(
  { rule, firstSince, until }: DatedRule,
  matching: readonly DatedRule[],
  now: number,
): boolean {
  const longer = matching.filter((other) => other.rule.pathPrefix.length > rule.pathPrefix.length);
  /** Time up to which streams can have begun under the rule. */
  let beganUntil = until;
  for (;;) {
    const hiding = longer.find(
      (other) => other.lastSince < beganUntil && beganUntil <= other.until,
    );
    if (hiding === undefined) break;
    beganUntil = hiding.lastSince;
  }
  return beganUntil > firstSince && beganUntil + rule.timeoutMs >= now;
}
