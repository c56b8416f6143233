/**
 * Chooses the route and the service of a request. One immutable table for each
 * version of the configuration; the state of weighted choices is carried from
 * one to the next, so that a change elsewhere does not disturb the shares.
 */
import type { Route, RouteTarget, Service, ServiceConfiguration } from './service-configuration.js';
import { WeightedChoice } from './weighted-choice.js';

/** A route with the service chosen for one request. */
export interface RouteMatch {
  readonly route: Route;
  readonly service: Service;
}

/** The routes and services of one version of the configuration. */
export class RoutingTable {
  /** Routes of each host, longest prefix first. */
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly services: ReadonlyMap<string, Service>;
  private readonly choices = new Map<string, WeightedChoice<RouteTarget>>();

  constructor(
    readonly configuration: ServiceConfiguration,
    previous?: RoutingTable,
  ) {
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
      if (route.targets.length > 1)
        this.choices.set(route.name, choiceFor(route, previous?.choices.get(route.name)));
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The service of a name. */
  service(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** The route of a request, without a choice among its services. */
  route(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host) ?? [];
    return routes.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Route and service of a request; counts towards the shares of a split route. */
  match(host: string, path: string): RouteMatch | undefined {
    const route = this.route(host, path);
    if (route === undefined) return undefined;
    const target = this.choices.get(route.name)?.next() ?? route.targets[0];
    const service = target === undefined ? undefined : this.services.get(target.service);
    return service === undefined ? undefined : { route, service };
  }
}

function choiceFor(
  route: Route,
  before: WeightedChoice<RouteTarget> | undefined,
): WeightedChoice<RouteTarget> {
  if (before?.isSame(route.targets, sameTarget) === true) return before;
  return new WeightedChoice(route.targets);
}

function sameTarget(a: RouteTarget, b: RouteTarget): boolean {
  return a.service === b.service && a.weight === b.weight;
}
