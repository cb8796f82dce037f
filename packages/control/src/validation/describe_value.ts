/** Longest text of a value in a message. */
const MAX_LENGTH = 120;

/**
 * Describes a value for a person.
 * @param value - The value.
 * @returns Its JSON, shortened, or `nothing` where there is none.
 */
export function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > MAX_LENGTH
    ? `${text.slice(0, MAX_LENGTH - 3)}...`
    : text;
}
