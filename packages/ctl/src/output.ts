/** Formats rows as a table or as JSON. */
import Table from 'cli-table3';
import type {Row} from './show.js';

/** Format of the results on standard output. */
export type OutputFormat = 'table' | 'json';

/** Formats the rows; the text ends with a line break. */
export function formatRows(rows: readonly Row[], format: OutputFormat): string {
  if (format === 'json') return `${JSON.stringify(rows)}\n`;
  const first = rows[0];
  if (!first) return 'none\n';
  const columns = Object.keys(first);
  // Colours are off because the output may be redirected to a file.
  const table = new Table({head: columns, style: {head: [], border: []}});
  for (const row of rows) {
    table.push(columns.map(column => String(row[column])));
  }
  return `${table.toString()}\n`;
}
