/**
 * Formats rows as a table with aligned columns.
 * @param header - Names of the columns.
 * @param rows - Cells by row.
 * @returns Lines, each ended by a line feed.
 */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [header, ...rows];
  const widths = header.map((_, i) =>
    Math.max(...lines.map(line => (line[i] ?? '').length)),
  );
  return lines
    .map(line =>
      line
        .map((cell, i) => cell.padEnd(widths[i] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .map(line => `${line}\n`)
    .join('');
}
