/**
 * Chooses the route and the service of a request. Each configuration version has
 * one immutable table. A new table takes over the state of weighted choices whose
 * targets are unchanged, so that unrelated changes do not disturb their shares.
 */
import type { Route, RouteTarget, Service, ServiceConfiguration } from './service-configuration.js';
import { WeightedRoundRobin } from './weighted-round-robin.js';

/** A route with the service chosen for one request. */
export interface RouteMatch {
  readonly route: Route;
  readonly service: Service;
}

/** The routes and services of one version of the configuration. */
export class RoutingTable {
  /** Routes by host, longest path prefix first. */
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly services: ReadonlyMap<string, Service>;
  private readonly choices = new Map<string, WeightedRoundRobin<RouteTarget>>();

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

  /** Returns the service with the given name. */
  service(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** Returns the route of a request without choosing one of its services. */
  route(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host) ?? [];
    return routes.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Returns the route and service of a request; counts towards the shares of a route with several targets. */
  match(host: string, path: string): RouteMatch | undefined {
    const route = this.route(host, path);
    if (route === undefined) return undefined;
    const target = this.choices.get(route.name)?.next() ?? route.targets[0];
    const service = target === undefined ? undefined : this.services.get(target.service);
    return service === undefined ? undefined : { route, service };
  }

  /** Returns a route with the service at which a resumed stream has begun; undefined if the route no longer has that service. */
  matchAt(route: Route, service: string): RouteMatch | undefined {
    const isTarget = route.targets.some(
      (target) => target.service === service && target.weight > 0,
    );
    const found = isTarget ? this.services.get(service) : undefined;
    return found && { route, service: found };
  }
}

function choiceFor(
  route: Route,
  previous: WeightedRoundRobin<RouteTarget> | undefined,
): WeightedRoundRobin<RouteTarget> {
  if (previous?.hasSameOptions(route.targets, sameTarget) === true) return previous;
  return new WeightedRoundRobin(route.targets);
}

function sameTarget(a: RouteTarget, b: RouteTarget): boolean {
  return a.service === b.service && a.weight === b.weight;
}
