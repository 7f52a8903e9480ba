/** Formats rows as a text table: each column is as wide as its longest cell, two spaces between columns. */
export function formatTable (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const widths = header.map((title, column) => Math.max(title.length, ...rows.map((row) => (row[column] ?? '').length)))
  const formatRow = (row: readonly string[]): string =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()
  return [header, ...rows].map(formatRow).join('\n')
}
