import type {RequestKind, RouteConfiguration} from '@primrosestage/steering';
import type {DirectFileState} from './direct_settings_schema.js';

/**
 * Builds the route configuration that a state file holds.
 * @param state - The checked content of the file.
 * @returns The configuration; of several services with one name, it holds the last.
 */
export function buildRouteConfiguration(
  state: DirectFileState,
): RouteConfiguration {
  const {version, routes, services, limits, accounts} = state;
  return {
    version,
    routes: routes.map(route => ({...route, kind: route.kind as RequestKind})),
    services: new Map(services.map(service => [service.name, service])),
    limits,
    accounts,
  };
}
