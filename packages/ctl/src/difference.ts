/** Tells two configurations apart, a line for each field that differs. */
import type {Configuration} from '@quetzalreel/config';

/** Fields that differ in every change. */
const OF_EVERY_CHANGE = ['generation', 'changeId', 'changes'];

/** Fields that are never shown. */
const SECRET = /secret$/;

/** Lines such as `kinds/start-list/maxAgeMs: 5000 -> 2000`. */
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
    const isSecret = SECRET.test(path);
    const shown = isSecret ? 'changed' : `${from ?? 'none'} -> ${to ?? 'none'}`;
    lines.push(`${path}: ${shown}`);
  }
  return lines;
}

/** Each leaf by its path; items of lists go by their names. */
function flatten(cfg: Configuration): Map<string, string> {
  const leaves = new Map<string, string>();
  const walk = (path: string, value: unknown): void => {
    if (value === null || typeof value !== 'object') {
      leaves.set(path, JSON.stringify(value));
      return;
    }
    for (const [key, inner] of Object.entries(value)) {
      if (path === '' && OF_EVERY_CHANGE.includes(key)) continue;
      const named = Array.isArray(value)
        ? ((inner as {name?: string}).name ?? key)
        : key;
      walk(path === '' ? named : `${path}/${named}`, inner);
    }
  };
  walk('', cfg);
  return leaves;
}
