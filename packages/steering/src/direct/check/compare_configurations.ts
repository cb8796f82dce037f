import type {ClientAccount} from '../client_account.js';
import type {RouteConfiguration} from '../route.js';
import {
  type ConfigurationFinding,
  FindingCode,
} from './configuration_finding.js';
import {FindingList} from './finding_list.js';
import {formatFieldValue} from './format_field_value.js';

/** Field whose values are secret and therefore only counted. */
const KEYS_FIELD = 'keys';

/**
 * Compares a configuration with the one in force. Keys of accounts are only counted.
 * @param inForce - The configuration in force.
 * @param next - The configuration to compare.
 * @param fieldNames - Names of tables and fields in the compared file, by their names in
 * `RouteConfiguration`.
 * @returns The added, removed and changed entries; changed ones by field.
 */
export function compareConfigurations(
  inForce: RouteConfiguration,
  next: RouteConfiguration,
  fieldNames?: ReadonlyMap<string, string>,
): ConfigurationFinding[] {
  const list = new FindingList(fieldNames);
  compareEntries(list, 'routes', inForce.routes, next.routes);
  compareEntries(
    list,
    'services',
    [...inForce.services.values()],
    [...next.services.values()],
  );
  comparePresence(list, {table: 'accounts'}, inForce.accounts, next.accounts);
  compareEntries(list, 'accounts', inForce.accounts ?? [], next.accounts ?? []);
  compareFields(list, {table: 'limits'}, inForce.limits, next.limits);
  return list.findings;
}

interface NamedEntry {
  readonly name: string;
}

function compareEntries(
  list: FindingList,
  table: string,
  inForce: readonly NamedEntry[],
  next: readonly NamedEntry[],
): void {
  const inForceByName = new Map(inForce.map(entry => [entry.name, entry]));
  const nextByName = new Map(next.map(entry => [entry.name, entry]));
  for (const name of new Set([...inForceByName.keys(), ...nextByName.keys()])) {
    const from = inForceByName.get(name);
    const to = nextByName.get(name);
    const place = {table, name};
    comparePresence(list, place, from, to);
    if (from && to) compareFields(list, place, from, to);
  }
}

function comparePresence(
  list: FindingList,
  place: {table: string; name?: string},
  from: unknown,
  to: unknown,
): void {
  if (from === undefined && to !== undefined) {
    list.addDifference(FindingCode.Added, place, 'present', 'absent');
  } else if (from !== undefined && to === undefined) {
    list.addDifference(FindingCode.Removed, place, 'absent', 'present');
  }
}

function compareFields(
  list: FindingList,
  place: {table: string; name?: string},
  from: object,
  to: object,
): void {
  const fromFields = new Map<string, unknown>(Object.entries(from));
  const toFields = new Map<string, unknown>(Object.entries(to));
  for (const field of new Set([...fromFields.keys(), ...toFields.keys()])) {
    const a = fromFields.get(field);
    const b = toFields.get(field);
    if (place.table === 'accounts' && field === KEYS_FIELD) {
      compareKeys(
        list,
        {...place, field},
        (from as ClientAccount).keys,
        (to as ClientAccount).keys,
      );
    } else if (JSON.stringify(a) !== JSON.stringify(b)) {
      list.addDifference(
        FindingCode.Changed,
        {...place, field},
        formatFieldValue(field, b),
        formatFieldValue(field, a),
      );
    }
  }
}

function compareKeys(
  list: FindingList,
  place: {table: string; name?: string; field: string},
  from: readonly string[],
  to: readonly string[],
): void {
  const fromKeys = new Set(from);
  const toKeys = new Set(to);
  const added = [...toKeys].filter(key => !fromKeys.has(key)).length;
  const removed = [...fromKeys].filter(key => !toKeys.has(key)).length;
  if (added === 0 && removed === 0) return;
  list.addDifference(
    FindingCode.Changed,
    place,
    `${added} added, ${removed} removed`,
    `${fromKeys.size} keys`,
  );
}
