/** Reads KNOWN-RED.txt: faults that are known and not mended yet. */

/** One known fault. */
export interface KnownRed {
  /** Name of the test, as the test runner prints it. */
  readonly test: string;
  /** The whole entry, for printing. */
  readonly entry: string;
}

/**
 * Reads entries of the form `test: <name>`, followed by lines `command:`,
 * `seen:` and `issue:`. Lines that start with `#` are comments.
 */
export function parseKnownRed(text: string): KnownRed[] {
  const entries: KnownRed[] = [];
  for (const block of text.split(/\n\s*\n/)) {
    const lines = block.split('\n').filter(line => !line.startsWith('#'));
    const first = lines.find(line => line.startsWith('test:'));
    if (!first) continue;
    const test = first.slice('test:'.length).trim();
    entries.push({test, entry: lines.join('\n').trim()});
  }
  return entries;
}
