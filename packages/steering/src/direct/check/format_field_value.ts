/** Maximum length of a formatted value, in characters. */
const MAX_LENGTH = 120;
/** Units of fields by the suffix of their name. */
const UNITS: ReadonlyArray<readonly [string, string]> = [
  ['Ms', 'ms'],
  ['Bytes', 'bytes'],
];

/**
 * Formats the value of a field for a finding.
 * @param field - Name of the field in `RouteConfiguration`, whose suffix gives the unit.
 * @param value - The value.
 * @returns Its JSON, truncated if long, or `nothing`; a number with its unit.
 */
export function formatFieldValue(field: string, value: unknown): string {
  if (value === undefined) return 'nothing';
  if (typeof value === 'number') {
    const unit = UNITS.find(([suffix]) => field.endsWith(suffix))?.[1];
    return unit === undefined ? String(value) : `${value} ${unit}`;
  }
  const text = JSON.stringify(value);
  return text.length > MAX_LENGTH
    ? `${text.slice(0, MAX_LENGTH - 3)}...`
    : text;
}
