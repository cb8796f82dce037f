/** Maximum length of a value in a message, in characters. */
const MAX_LENGTH = 120;

/**
 * Formats a value for a message.
 * @param value - The value.
 * @returns Its JSON, truncated if long, or `nothing` if the value is undefined.
 */
export function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > MAX_LENGTH
    ? `${text.slice(0, MAX_LENGTH - 3)}...`
    : text;
}
