/** Random selection with a seeded generator that is part of the state. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {JumpableRandomGenerator} from 'pure-rand/types/JumpableRandomGenerator';

/**
 * A generator that is treated as immutable; each selection returns the next
 * one.
 */
export type Random = JumpableRandomGenerator;

/** Creates a generator with the given seed. */
export function seededRandom(seed: number): Random {
  return xoroshiro128plus(seed);
}

/**
 * Selects up to `count` distinct items; returns them and the next generator.
 */
export function pickRandom<T>(
  random: Random,
  items: readonly T[],
  count: number,
): {readonly picked: readonly T[]; readonly random: Random} {
  const next = random.clone();
  const remaining = [...items];
  const picked: T[] = [];
  while (picked.length < count && remaining.length > 0) {
    const index = uniformInt(next, 0, remaining.length - 1);
    picked.push(...remaining.splice(index, 1));
  }
  return {picked, random: next};
}
