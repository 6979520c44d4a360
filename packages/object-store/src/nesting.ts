/** Bounds the nesting of values that anyone may have written to the store. */

/**
 * Nesting that a value may have; those of this project and of the platform use
 * fewer than ten levels. Encoders and comparisons recurse into values.
 */
export const MAX_NESTING = 32;

/**
 * Whether objects and arrays are nested deeper in `value` than any valid one.
 * Does not recurse, so that it can be asked about any decoded value.
 */
export function isNestedTooDeep(value: unknown): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; level.length > 0; depth++) {
    if (depth > MAX_NESTING) return true;
    const next: unknown[] = [];
    for (const item of level) {
      if (typeof item !== 'object' || item === null) continue;
      for (const inner of Object.values(item)) {
        if (typeof inner === 'object' && inner !== null) next.push(inner);
      }
    }
    level = next;
  }
  return false;
}
