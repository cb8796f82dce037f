import type {Route, RouteConfiguration} from '../route.js';
import {checkNames} from './check_names.js';
import {checkNumber, checkWholeNumber} from './check_number.js';
import {FindingCode} from './configuration_finding.js';
import type {FindingList} from './finding_list.js';
import {formatFieldValue} from './format_field_value.js';

/** Host name, IPv4 address or IPv6 address in brackets; the port of a request is ignored. */
const HOST =
  /^([a-z\d_]([a-z\d_-]*[a-z\d_])?(\.[a-z\d_]([a-z\d_-]*[a-z\d_])?)*|\[[\da-f:.]+\])$/i;
const MAX_HOST_LENGTH = 253;
/** Characters that the path of a request can hold, without its query. */
const PATH = /^[!$-;=@-~]+$/;

/**
 * Reports faults of routes, and routes that never receive a request.
 * @param list - Receives the findings.
 * @param configuration - The configuration.
 */
export function checkRoutes(
  list: FindingList,
  configuration: RouteConfiguration,
): void {
  const {routes, services} = configuration;
  checkNames(
    list,
    'routes',
    routes.map(({name}) => name),
  );
  for (const route of routes) {
    checkHost(list, route);
    checkPrefix(list, route);
    checkTargets(list, route, services);
    checkRouteNumbers(list, route);
  }
  checkMatches(list, routes);
}

function checkHost(list: FindingList, {name, host}: Route): void {
  if (host.length <= MAX_HOST_LENGTH && HOST.test(host)) return;
  list.addError(
    FindingCode.InvalidHost,
    {table: 'routes', name, field: 'host'},
    formatFieldValue('host', host),
    'a host name or address without a scheme, port or wildcard',
  );
}

function checkPrefix(list: FindingList, {name, prefix}: Route): void {
  const place = {table: 'routes', name, field: 'prefix'};
  const value = formatFieldValue('prefix', prefix);
  if (!PATH.test(prefix)) {
    list.addError(
      FindingCode.InvalidPrefix,
      place,
      value,
      'characters of a path, without query, fragment, spaces and letters beyond ASCII',
    );
  } else if (!prefix.startsWith('/')) {
    list.addWarning(
      FindingCode.PrefixWithoutSlash,
      place,
      value,
      'a slash at the start; no path matches without it',
    );
  } else if (!prefix.endsWith('/')) {
    list.addWarning(
      FindingCode.PrefixWithoutSlash,
      place,
      value,
      'a slash at the end; longer names match without it',
    );
  }
}

function checkTargets(
  list: FindingList,
  {name, targets}: Route,
  services: RouteConfiguration['services'],
): void {
  const place = {table: 'routes', name, field: 'targets'};
  for (const {service, weight} of targets) {
    if (!services.has(service)) {
      list.addError(
        FindingCode.UnknownService,
        place,
        formatFieldValue('service', service),
        'the name of a service',
      );
    }
    checkNumber(list, place, weight);
  }
  const sum = targets.reduce((total, t) => total + Math.max(0, t.weight), 0);
  if (sum === 0) {
    list.addError(
      FindingCode.ZeroWeights,
      place,
      'weights with the sum 0',
      'at least one weight above 0',
    );
  }
}

function checkRouteNumbers(list: FindingList, route: Route): void {
  const {timeoutMs, objectiveMs, priority, attempts} = route;
  const getPlace = (field: string) => ({
    table: 'routes',
    name: route.name,
    field,
  });
  checkNumber(list, getPlace('timeoutMs'), timeoutMs);
  checkNumber(list, getPlace('objectiveMs'), objectiveMs);
  checkWholeNumber(list, getPlace('priority'), priority);
  checkWholeNumber(list, getPlace('attempts'), attempts);
  if (timeoutMs > 0 && objectiveMs > timeoutMs) {
    list.addWarning(
      FindingCode.ObjectiveAboveTimeout,
      getPlace('objectiveMs'),
      formatFieldValue('objectiveMs', objectiveMs),
      `at most the timeout, ${formatFieldValue('timeoutMs', timeoutMs)}`,
    );
  }
  if (timeoutMs === 0 && attempts > 1) {
    list.addWarning(
      FindingCode.AttemptsWithoutTimeout,
      getPlace('timeoutMs'),
      formatFieldValue('timeoutMs', timeoutMs),
      `a timeout above 0 for ${attempts} attempts`,
    );
  }
  if (attempts >= 0 && attempts < 1) {
    list.addWarning(
      FindingCode.AttemptsBelowOne,
      getPlace('attempts'),
      formatFieldValue('attempts', attempts),
      'at least 1',
    );
  }
}

/** Reports routes that another one hides, and hosts that are spelled differently. */
function checkMatches(list: FindingList, routes: readonly Route[]): void {
  const firstByMatch = new Map<string, Route>();
  const firstByHost = new Map<string, Route>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const match = `${host}${route.prefix}`;
    const hiding = firstByMatch.get(match);
    const first = firstByHost.get(host);
    if (hiding) {
      list.addWarning(
        FindingCode.SameMatch,
        {table: 'routes', name: route.name, field: 'prefix'},
        formatFieldValue('prefix', match),
        `a host and prefix that ${list.formatPlace({table: 'routes', name: hiding.name})} does not have`,
      );
    } else firstByMatch.set(match, route);
    if (!first) {
      firstByHost.set(host, route);
    } else if (first.host !== route.host) {
      list.addWarning(
        FindingCode.HostCase,
        {table: 'routes', name: route.name, field: 'host'},
        formatFieldValue('host', route.host),
        `${formatFieldValue('host', first.host)}, the spelling of ${list.formatPlace({table: 'routes', name: first.name})}`,
      );
    }
  }
}
