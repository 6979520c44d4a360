/** Reads what a caller says of a statement in a sqlcommenter comment. */

/** What a statement's comments name. */
export interface CommentTags {
  /** Kind of the request. */
  readonly kind?: string;
  /** Request key. */
  readonly key?: string;
  /** Shard of the database that it is for. */
  readonly shard?: string;
}

const PAIR = /([A-Za-z_]+)='((?:[^'\\]|\\.)*)'/g;
const NO_TAGS: CommentTags = {};

/** The tags in the bodies of comments; the last one of a name counts. */
export function readTags(comments: readonly string[]): CommentTags {
  if (comments.length === 0) return NO_TAGS;
  const found: Record<string, string> = {};
  for (const body of comments) {
    for (const [, name, value] of body.matchAll(PAIR)) {
      const known = name === 'kind' || name === 'key' || name === 'shard';
      if (known) found[name] = decode(value!);
    }
  }
  return found;
}

function decode(value: string): string {
  const plain = value.replace(/\\(.)/g, '$1');
  try {
    return decodeURIComponent(plain);
  } catch {
    return plain;
  }
}
