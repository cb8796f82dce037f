/**
 * Formats a number with about four significant digits.
 * @param value - The number.
 * @returns The text.
 */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return String(value);
  if (Math.abs(value) >= 1000) return Math.round(value).toLocaleString('en');
  return String(Number(value.toPrecision(4)));
}
