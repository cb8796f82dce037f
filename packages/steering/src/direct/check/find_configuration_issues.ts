import type {RouteConfiguration} from '../route.js';
import {checkAccounts} from './check_accounts.js';
import {
  checkLimits,
  DEFAULT_REQUEST_CAPACITY,
  type RequestCapacity,
} from './check_limits.js';
import {checkRoutes} from './check_routes.js';
import {checkServices} from './check_services.js';
import {checkWholeNumber} from './check_number.js';
import {
  type ConfigurationFinding,
  FindingCode,
} from './configuration_finding.js';
import {FindingList} from './finding_list.js';

/** Configures the check of a configuration. */
export interface ConfigurationCheckOptions {
  /** The configuration in force; without it, versions are not compared. */
  inForce?: RouteConfiguration;
  /** Names of the services as the file lists them; by default those of the map, which are unique. */
  serviceNames?: readonly string[];
  /** What an instance can take; by default that of a machine of 350 MB or more. */
  capacity?: RequestCapacity;
  /** Names of tables and fields in the checked file, by their names in `RouteConfiguration`. */
  fieldNames?: ReadonlyMap<string, string>;
}

/**
 * Finds errors, entries without effect and contradicting limits in a configuration.
 * @param configuration - The configuration.
 * @param options - The configuration in force and how the file names its content.
 * @returns The findings in the order of the tables.
 */
export function findConfigurationIssues(
  configuration: RouteConfiguration,
  options: ConfigurationCheckOptions = {},
): ConfigurationFinding[] {
  const {version, services, limits} = configuration;
  const {
    inForce,
    serviceNames = [...services.keys()],
    capacity = DEFAULT_REQUEST_CAPACITY,
  } = options;
  const list = new FindingList(options.fieldNames);
  checkWholeNumber(list, {table: 'version'}, version);
  if (inForce && !(version > inForce.version)) {
    list.addError(
      FindingCode.VersionNotHigher,
      {table: 'version'},
      String(version),
      `above ${inForce.version}, the version in force`,
    );
  }
  checkRoutes(list, configuration);
  checkServices(list, configuration, serviceNames);
  checkAccounts(list, configuration);
  checkLimits(list, limits, capacity);
  return list.findings;
}
