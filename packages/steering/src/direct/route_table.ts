import type {Route} from './route.js';

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();

  /**
   * Creates the table.
   * @param routes - All routes of a configuration.
   */
  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const routesOfHost = this.routesByHost.get(host) ?? [];
      routesOfHost.push(route);
      this.routesByHost.set(host, routesOfHost);
    }
    for (const routesOfHost of this.routesByHost.values()) {
      routesOfHost.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /**
   * Finds the route of a request.
   * @param host - Value of the Host header; a port is ignored.
   * @param target - Path and query of the request.
   * @returns The route with the longest matching prefix, or undefined if none matches.
   */
  find(host: string, target: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    const path = getPath(target);
    return this.routesByHost
      .get(name)
      ?.find(route => path.startsWith(route.prefix));
  }
}

function getPath(target: string): string {
  const query = target.indexOf('?');
  return query === -1 ? target : target.slice(0, query);
}
