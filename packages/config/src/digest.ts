/** A short digest that tells two documents apart. */
import {createHash} from 'node:crypto';

/** Characters of a digest. */
const DIGEST_LENGTH = 16;

/** Digest of a JSON value; the order of its fields does not matter. */
export function digestOf(value: unknown): string {
  const hash = createHash('sha256').update(canonical(value));
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}

function canonical(value: unknown): string {
  return JSON.stringify(value, (_, inner: unknown) => {
    if (inner === null || typeof inner !== 'object') return inner;
    if (Array.isArray(inner)) return inner;
    return Object.fromEntries(
      Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)),
    );
  });
}
