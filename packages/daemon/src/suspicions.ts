/** Passes suspicions of primaries between this instance's groups and peers. */
import type {Clock} from '@quetzalreel/common';
import {primaryOf} from '@quetzalreel/group';
import type {SuspectedPrimary, SuspicionReport} from '@quetzalreel/membership';
import type {GroupHandle} from './group-handle.js';

/** What the exchange of suspicions works with. */
export interface SuspicionContext {
  readonly clock: Clock;
  readonly instance: string;
  /** How long a suspicion that isn't repeated holds, in milliseconds. */
  readonly holdMs: number;
  readonly groupOf: (name: string) => GroupHandle | undefined;
  /** Tells other instances all that is suspected here. */
  readonly tell: (suspected: readonly SuspectedPrimary[]) => void;
}

/** The exchange of suspicions. */
export interface Suspicions {
  /** A group of this instance has lost the primary of `term`. */
  suspects(group: string, term: number): void;
  /** The newest report of each instance. */
  heard(reports: ReadonlyMap<string, SuspicionReport>): void;
}

/** An exchange that has heard nothing. */
export function suspicions(context: SuspicionContext): Suspicions {
  const own = new Map<string, {readonly term: number; readonly at: number}>();
  const endpointOf = (group: string) =>
    primaryOf(context.groupOf(group)!.state.view)?.cfg.name ?? '';
  const seen = new Map<string, number>();
  return {
    suspects(group, term) {
      const now = context.clock.now();
      own.set(group, {term, at: now});
      const fresh: SuspectedPrimary[] = [];
      for (const [name, told] of own) {
        if (context.groupOf(name) && now - told.at < context.holdMs) {
          fresh.push({
            group: name,
            endpoint: endpointOf(name),
            term: told.term,
          });
        } else own.delete(name);
      }
      context.tell(fresh);
    },
    heard(reports) {
      for (const [instance, {seq, suspected}] of reports) {
        // A report that was heard before says nothing about now.
        if (instance === context.instance || seen.get(instance) === seq) {
          continue;
        }
        seen.set(instance, seq);
        for (const {group, term} of suspected) {
          context.groupOf(group)?.suspected(instance, term);
        }
      }
    },
  };
}
