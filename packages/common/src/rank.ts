/**
 * Rendezvous hashing. It gives each instance a rank in each group; instances
 * make their attempts in order of rank, so that the first attempts of the
 * groups spread over the instances and few instances try at the same time.
 */
import {createHash} from 'node:crypto';

/** Hashes `text` to an integer from 0, below 2 to the power of 32. */
export function hashOf(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

const HASH_VALUES = 2 ** 32;

/** A number from 0, below 1, derived from `text`. */
export function hashFraction(text: string): number {
  return hashOf(text) / HASH_VALUES;
}

/**
 * Returns the rank of `instance` for `group`, from 0: the number of `instances`
 * that precede it. An instance that is not in `instances` gets the rank that it
 * would have there.
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
