/** Parses KNOWN-RED.txt, the list of known test failures not yet fixed. */

/** An entry of KNOWN-RED.txt. */
export interface KnownFailure {
  /** Name of the test, as the test runner prints it. */
  readonly test: string;
  /** Text of the entry without comment lines, as it is printed. */
  readonly entry: string;
}

/**
 * Parses entries separated by blank lines. Each has a line `test: <name>` and
 * lines `command:`, `seen:` and `issue:`. Lines that start with `#` are
 * comments; a block without a `test:` line is ignored.
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  const entries: KnownFailure[] = [];
  for (const block of text.split(/\n\s*\n/)) {
    const lines = block.split('\n').filter(line => !line.startsWith('#'));
    const first = lines.find(line => line.startsWith('test:'));
    if (!first) continue;
    const test = first.slice('test:'.length).trim();
    entries.push({test, entry: lines.join('\n').trim()});
  }
  return entries;
}
