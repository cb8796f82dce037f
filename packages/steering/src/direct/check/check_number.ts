import {FindingCode} from './configuration_finding.js';
import type {FindingList, FindingPlace} from './finding_list.js';
import {formatFieldValue} from './format_field_value.js';

/**
 * Reports a number that is negative or not finite.
 * @param list - Receives the finding.
 * @param place - Place of the number.
 * @param value - The number.
 */
export function checkNumber(
  list: FindingList,
  place: FindingPlace,
  value: number,
): void {
  if (Number.isFinite(value) && value >= 0) return;
  list.addError(
    FindingCode.InvalidNumber,
    place,
    formatFieldValue(place.field ?? '', value),
    'a finite number of 0 or more',
  );
}

/**
 * Reports a number that is negative, not finite or not whole.
 * @param list - Receives the finding.
 * @param place - Place of the number.
 * @param value - The number.
 */
export function checkWholeNumber(
  list: FindingList,
  place: FindingPlace,
  value: number,
): void {
  checkNumber(list, place, value);
  if (!Number.isFinite(value) || Number.isInteger(value)) return;
  list.addError(
    FindingCode.NotWholeNumber,
    place,
    formatFieldValue(place.field ?? '', value),
    'a whole number',
  );
}
