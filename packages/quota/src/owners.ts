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

/** Hashes that are remembered: those of 100 accounts on 200 instances. */
const MAX_HASHES = 20_000;

/** Creates a choice of owners. */
export function ownerChoice(): OwnerChoice {
  const hashes = new Map<string, number>();

  function weightOf(account: string, {instance}: QuotaInstance): number {
    const key = `${account}/${instance}`;
    const known = hashes.get(key);
    if (known !== undefined) return known;
    if (hashes.size >= MAX_HASHES) hashes.clear();
    const weight = hashOf(key);
    hashes.set(key, weight);
    return weight;
  }

  return {
    choose(account, instances, count) {
      const ranked = instances
        .map(item => ({item, weight: weightOf(account, item)}))
        .sort(
          (a, b) =>
            b.weight - a.weight || (a.item.instance < b.item.instance ? -1 : 1),
        )
        .map(({item}) => item);
      const owners = spread(ranked, count);
      const backup = ranked.find(item => !owners.includes(item));
      return {owners, backup};
    },
  };
}

/** The first `count`, in different data centres where there are enough. */
function spread(
  ranked: readonly QuotaInstance[],
  count: number,
): QuotaInstance[] {
  const chosen = new Set<QuotaInstance>();
  const dataCentres = new Set<string>();
  for (const item of ranked) {
    if (chosen.size === count) break;
    if (dataCentres.has(item.dataCentre)) continue;
    dataCentres.add(item.dataCentre);
    chosen.add(item);
  }
  for (const item of ranked) {
    if (chosen.size === count) break;
    chosen.add(item);
  }
  return ranked.filter(item => chosen.has(item));
}
