/** A short digest that identifies the content of a document. */
import {createHash} from 'node:crypto';

/** Length of a digest in base64url characters. */
const DIGEST_CHARS = 16;

/** Digest of a JSON value, independent of the order of its fields. */
export function digestOf(value: unknown): string {
  const hash = createHash('sha256').update(canonicalJson(value));
  return hash.digest('base64url').slice(0, DIGEST_CHARS);
}

function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_, inner: unknown) => {
    if (inner === null || typeof inner !== 'object') return inner;
    if (Array.isArray(inner)) return inner;
    return Object.fromEntries(
      Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)),
    );
  });
}
