/** Reads the tags of a statement from its sqlcommenter comments. */

/** Tags from a statement's comments. */
export interface CommentTags {
  /** Kind of the request. */
  readonly kind?: string;
  /** Request key. */
  readonly key?: string;
  /** Database shard that the statement is sent to. */
  readonly shard?: string;
}

const TAG_PATTERN = /([A-Za-z_]+)='((?:[^'\\]|\\.)*)'/g;
const NO_TAGS: CommentTags = {};

/** Parses tags from comment bodies; the last tag of a name is used. */
export function readTags(comments: readonly string[]): CommentTags {
  if (comments.length === 0) return NO_TAGS;
  const found: Record<string, string> = {};
  for (const body of comments) {
    for (const [, name, value] of body.matchAll(TAG_PATTERN)) {
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
