/**
 * Who tries first: each instance has a rank in each group, by rendezvous hash,
 * so that the first tries spread over instances and few try at a time.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A 32-bit hash of `text`: FNV-1a, then mixed so that all bits count. */
export function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * The rank of `instance` among `instances` for `group`, from 0: the number of
 * instances that come before it. An instance that is not listed ranks as if
 * it were.
 */
export function rankOf(
  instance: string,
  instances: readonly string[],
  group: string,
): number {
  const weight = (name: string) => hashOf(`${group}/${name}`);
  const own = weight(instance);
  let rank = 0;
  for (const other of instances) {
    if (other === instance) continue;
    const theirs = weight(other);
    if (theirs > own || (theirs === own && other < instance)) rank++;
  }
  return rank;
}
