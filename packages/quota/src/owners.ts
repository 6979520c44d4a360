/** Chooses the owners and the backup of an account by rendezvous hashing. */
import {hashOf} from '@quetzalreel/common';

/** An instance as the others know it. */
export interface QuotaInstance {
  readonly instance: string;
  readonly dataCentre: string;
  /** Address of its peer port, `host:port`. */
  readonly address: string;
}

/** Who grants the tokens of an account. */
export interface Assignment {
  /** In hash order. */
  readonly owners: readonly QuotaInstance[];
  /** The next instance in hash order; undefined if all are owners. */
  readonly backup: QuotaInstance | undefined;
}

/** Chooses owners; remembers hashes. */
export interface OwnerChoice {
  choose(
    account: string,
    instances: readonly QuotaInstance[],
    count: number,
  ): Assignment;
}

/** Creates a choice of owners. */
export function ownerChoice(): OwnerChoice {
  /** What is computed once a list, since many accounts are chosen for with it. */
  const lists = new WeakMap<readonly QuotaInstance[], InstanceNumbers>();

  function numbersOf(instances: readonly QuotaInstance[]): InstanceNumbers {
    const known = lists.get(instances);
    if (known) return known;
    const found = numbersFor(instances);
    lists.set(instances, found);
    return found;
  }

  return {
    choose(account, instances, count) {
      const numbers = numbersOf(instances);
      const own = hashOf(account);
      const weights = numbers.hashes.map(hash => weightOf(own, hash));
      const ranking = {instances, weights, ...numbers};
      const chosen = spread(ranking, count);
      const backup = best(ranking, chosen);
      const owners = [...chosen].sort((a, b) => byWeight(ranking, a, b));
      return {
        owners: owners.map(at => instances[at]!),
        backup: backup === undefined ? undefined : instances[backup],
      };
    },
  };
}

/**
 * The weight of an instance for an account, from the hashes of both names. Mixing
 * two numbers is much cheaper than hashing a text for each pair: 10,000 accounts on
 * 400 instances are four million pairs.
 */
function weightOf(account: number, instance: number): number {
  let mixed = Math.imul(account ^ 0x9e3779b1, 0x85ebca77) ^ instance;
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0xc2b2ae3d);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0x27d4eb2f);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Numbers in place of the names of a list. */
interface InstanceNumbers {
  /** Of the names of the instances. */
  readonly hashes: Uint32Array;
  /** Index of each instance's data centre. */
  readonly dataCentres: Uint16Array;
  readonly dataCentreCount: number;
}

function numbersFor(instances: readonly QuotaInstance[]): InstanceNumbers {
  const names = [...new Set(instances.map(({dataCentre}) => dataCentre))];
  const indexes = new Map(names.map((name, index) => [name, index] as const));
  return {
    hashes: Uint32Array.from(instances, ({instance}) => hashOf(instance)),
    dataCentres: Uint16Array.from(instances, ({dataCentre}) =>
      indexes.get(dataCentre)!,
    ),
    dataCentreCount: names.length,
  };
}

/** Instances with their weights for one account. */
interface Ranking extends InstanceNumbers {
  readonly instances: readonly QuotaInstance[];
  readonly weights: Uint32Array;
}

/** Order of two indexes; names break ties, so that all instances agree. */
function byWeight({instances, weights}: Ranking, a: number, b: number): number {
  if (weights[a] !== weights[b]) return weights[b]! - weights[a]!;
  return instances[a]!.instance < instances[b]!.instance ? -1 : 1;
}

/** Index of the first in the ranking that is not among `chosen`. */
function best(
  ranking: Ranking,
  chosen: ReadonlySet<number>,
): number | undefined {
  let found: number | undefined;
  for (let at = 0; at < ranking.weights.length; at++) {
    if (chosen.has(at)) continue;
    if (found === undefined || byWeight(ranking, at, found) < 0) found = at;
  }
  return found;
}

/** Indexes of the first `count`, in different data centres where there are enough. */
function spread(ranking: Ranking, count: number): Set<number> {
  const {weights, dataCentres, dataCentreCount} = ranking;
  const firsts = new Array<number>(dataCentreCount).fill(-1);
  for (let at = 0; at < weights.length; at++) {
    const dataCentre = dataCentres[at]!;
    const known = firsts[dataCentre]!;
    if (known < 0 || byWeight(ranking, at, known) < 0) firsts[dataCentre] = at;
  }
  firsts.sort((a, b) => byWeight(ranking, a, b));
  const chosen = new Set(firsts.slice(0, count));
  while (chosen.size < count) {
    const next = best(ranking, chosen);
    if (next === undefined) break;
    chosen.add(next);
  }
  return chosen;
}
