/**
 * Chooses the instances that are linked for spreading facts. Two rings over all
 * instances, in different orders, give each at most four links, and together
 * form a graph with short paths. Both orders keep a data centre together, so
 * that few links cross between data centres.
 */
import {hashOf} from '@quetzalreel/common';

/** An instance that may be linked. */
export interface OverlayInstance {
  readonly instance: string;
  readonly dataCentre: string;
}

/** Names of the rings; each one orders the instances differently. */
const RINGS = ['first', 'second'] as const;

/** The instances to which `self` is linked; the same from both ends. */
export function linksOf<T extends OverlayInstance>(
  self: OverlayInstance,
  peers: readonly T[],
): T[] {
  const linked = new Set<string>();
  for (const ring of RINGS) {
    const order = ringOrder([self, ...peers], ring);
    const at = order.indexOf(self);
    for (const step of [1, order.length - 1]) {
      linked.add(order[(at + step) % order.length]!.instance);
    }
  }
  return peers.filter(({instance}) => linked.has(instance));
}

function ringOrder(
  all: readonly OverlayInstance[],
  ring: string,
): OverlayInstance[] {
  const ranked = all.map(item => ({
    item,
    group: hashOf(`${ring}/${item.dataCentre}`),
    rank: hashOf(`${ring}/${item.instance}`),
  }));
  ranked.sort(
    (a, b) =>
      a.group - b.group ||
      a.rank - b.rank ||
      (a.item.instance < b.item.instance ? -1 : 1),
  );
  return ranked.map(({item}) => item);
}
