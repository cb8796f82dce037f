import {FindingCode} from './configuration_finding.js';
import type {FindingList} from './finding_list.js';

/**
 * Reports names that occur more than once in a table.
 * @param list - Receives the findings, one per name.
 * @param table - Name of the table.
 * @param names - Names of its entries.
 */
export function checkNames(
  list: FindingList,
  table: string,
  names: readonly string[],
): void {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  for (const [name, count] of counts) {
    if (count === 1) continue;
    list.addError(
      FindingCode.DuplicateName,
      {table, name},
      `${count} entries`,
      'a name that occurs once',
    );
  }
}
