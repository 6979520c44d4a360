/** Lists the fields that differ between two configurations. */
import type {Configuration} from '@quetzalreel/config';

/** Top-level fields that every change updates; they are left out. */
const ALWAYS_CHANGED_FIELDS = ['generation', 'changeId', 'changes'];

/** Matches fields whose values must not be printed. */
const SECRET_PATH = /secret$/;

/** Returns lines such as `kinds/start-list/maxAgeMs: 5000 -> 2000`. */
export function difference(
  before: Configuration,
  after: Configuration,
): readonly string[] {
  const old = flatten(before);
  const next = flatten(after);
  const paths = [...new Set([...old.keys(), ...next.keys()])].sort();
  const lines: string[] = [];
  for (const path of paths) {
    const from = old.get(path);
    const to = next.get(path);
    if (from === to) continue;
    const isSecret = SECRET_PATH.test(path);
    const shown = isSecret ? 'changed' : `${from ?? 'none'} -> ${to ?? 'none'}`;
    lines.push(`${path}: ${shown}`);
  }
  return lines;
}

/**
 * Maps the path of each scalar value to its JSON text. A list item with a name
 * has the name in its path, and any other its index.
 */
function flatten(cfg: Configuration): Map<string, string> {
  const leaves = new Map<string, string>();
  const walk = (path: string, value: unknown): void => {
    if (value === null || typeof value !== 'object') {
      leaves.set(path, JSON.stringify(value));
      return;
    }
    for (const [key, inner] of Object.entries(value)) {
      if (path === '' && ALWAYS_CHANGED_FIELDS.includes(key)) continue;
      const named = Array.isArray(value)
        ? ((inner as {name?: string}).name ?? key)
        : key;
      walk(path === '' ? named : `${path}/${named}`, inner);
    }
  };
  walk('', cfg);
  return leaves;
}
