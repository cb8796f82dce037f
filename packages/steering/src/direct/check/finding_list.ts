import {
  type ConfigurationFinding,
  type FindingCode,
  FindingSeverity,
} from './configuration_finding.js';

/** Names that need no quotes within a place. */
const PLAIN_NAME = /^[\w-]+$/;

/** Place of a finding, with the names of `RouteConfiguration`. */
export interface FindingPlace {
  /** Table or field at the top level. */
  table: string;
  /** Name of the entry, if the table has entries. */
  name?: string;
  /** Field of the entry or table; absent for all of it. */
  field?: string;
}

/** Collects findings and formats their places. */
export class FindingList {
  readonly findings: ConfigurationFinding[] = [];

  /**
   * Creates an empty list.
   * @param fieldNames - Names of tables and fields in the checked file, by their names in
   * `RouteConfiguration`; names that are not listed are the same.
   */
  constructor(private readonly fieldNames?: ReadonlyMap<string, string>) {}

  /**
   * Adds an error.
   * @param code - The check.
   * @param place - Place of the value.
   * @param value - The value as text.
   * @param expected - What was expected.
   */
  addError(
    code: FindingCode,
    place: FindingPlace,
    value: string,
    expected: string,
  ): void {
    this.add(FindingSeverity.Error, code, place, value, expected);
  }

  /**
   * Adds a warning.
   * @param code - The check.
   * @param place - Place of the value.
   * @param value - The value as text.
   * @param expected - What was expected.
   */
  addWarning(
    code: FindingCode,
    place: FindingPlace,
    value: string,
    expected: string,
  ): void {
    this.add(FindingSeverity.Warning, code, place, value, expected);
  }

  /**
   * Adds a difference from the configuration in force.
   * @param code - Whether the value was added, removed or changed.
   * @param place - Place of the value.
   * @param value - The value as text.
   * @param inForce - The value in force as text.
   */
  addDifference(
    code: FindingCode,
    place: FindingPlace,
    value: string,
    inForce: string,
  ): void {
    this.add(FindingSeverity.Difference, code, place, value, inForce);
  }

  /**
   * Formats a place with the names of the checked file.
   * @param place - The place.
   */
  formatPlace({table, name, field}: FindingPlace): string {
    const parts = [this.fieldNames?.get(table) ?? table];
    if (name !== undefined) {
      parts.push(PLAIN_NAME.test(name) ? name : JSON.stringify(name));
    }
    if (field !== undefined) parts.push(this.fieldNames?.get(field) ?? field);
    return parts.join('.');
  }

  private add(
    severity: FindingSeverity,
    code: FindingCode,
    place: FindingPlace,
    value: string,
    expected: string,
  ): void {
    this.findings.push({
      severity,
      code,
      place: this.formatPlace(place),
      value,
      expected,
    });
  }
}
