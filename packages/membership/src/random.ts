/** Random choices from a seeded generator that is part of the state. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {JumpableRandomGenerator} from 'pure-rand/types/JumpableRandomGenerator';

/** A generator that is never changed; drawing gives the next one. */
export type Random = JumpableRandomGenerator;

/** A generator with the given seed. */
export function seededRandom(seed: number): Random {
  return xoroshiro128plus(seed);
}

/** Up to `count` different items, and the next generator. */
export function pickRandom<T>(
  random: Random,
  items: readonly T[],
  count: number,
): {readonly picked: readonly T[]; readonly random: Random} {
  const next = random.clone();
  const rest = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && rest.length > 0) {
    const at = uniformInt(next, 0, rest.length - 1);
    drawn.push(...rest.splice(at, 1));
  }
  return {picked: drawn, random: next};
}
