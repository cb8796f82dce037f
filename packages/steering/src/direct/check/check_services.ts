import type {RouteConfiguration} from '../route.js';
import {checkNames} from './check_names.js';
import {checkNumber} from './check_number.js';
import {FindingCode} from './configuration_finding.js';
import type {FindingList} from './finding_list.js';
import {formatFieldValue} from './format_field_value.js';

/** Numeric fields of a service. */
const NUMBERS = ['maxConnections', 'coldMs', 'coldPerSecond'] as const;

/**
 * Reports faults of services, and services that no route uses.
 * @param list - Receives the findings.
 * @param configuration - The configuration.
 * @param serviceNames - Names as the file lists them, since the map holds equal names only once.
 */
export function checkServices(
  list: FindingList,
  {routes, services}: RouteConfiguration,
  serviceNames: readonly string[],
): void {
  checkNames(list, 'services', serviceNames);
  const used = new Set(
    routes.flatMap(({targets}) => targets.map(({service}) => service)),
  );
  for (const service of services.values()) {
    const {name, coldMs, coldPerSecond} = service;
    for (const field of NUMBERS) {
      checkNumber(list, {table: 'services', name, field}, service[field]);
    }
    if (!used.has(name)) {
      list.addWarning(
        FindingCode.UnusedService,
        {table: 'services', name},
        'no route',
        'a route that uses the service',
      );
    }
    if (coldMs > 0 && coldPerSecond === 0) {
      list.addWarning(
        FindingCode.ColdTimeWithoutRate,
        {table: 'services', name, field: 'coldPerSecond'},
        formatFieldValue('coldPerSecond', coldPerSecond),
        `a rate above 0 for the cold time of ${formatFieldValue('coldMs', coldMs)}`,
      );
    }
  }
}
