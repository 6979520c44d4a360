/**
 * Exchanges suspicions of primaries between this instance's groups and peers.
 */
import type {Clock} from '@quetzalreel/common';
import {primaryOf} from '@quetzalreel/group';
import type {SuspectedPrimary, SuspicionReport} from '@quetzalreel/membership';
import type {GroupHandle} from './group-handle.js';

/** Dependencies and parameters of the exchange of suspicions. */
export interface SuspicionContext {
  readonly clock: Clock;
  readonly instance: string;
  /**
   * How long a suspicion stays valid without being repeated, in milliseconds.
   */
  readonly validityMs: number;
  readonly groupOf: (name: string) => GroupHandle | undefined;
  /** Sends all current suspicions of this instance to peers. */
  readonly broadcast: (suspected: readonly SuspectedPrimary[]) => void;
}

/** Exchanges suspicions between the groups and peers. */
export interface SuspicionExchange {
  /** Reports that a group of this instance suspects the primary of `term`. */
  reportOwnSuspicion(group: string, term: number): void;
  /** Processes the newest report of each instance. */
  receiveReports(reports: ReadonlyMap<string, SuspicionReport>): void;
}

/** Creates an exchange without suspicions or reports. */
export function startSuspicionExchange(
  context: SuspicionContext,
): SuspicionExchange {
  const own = new Map<string, {readonly term: number; readonly at: number}>();
  const endpointOf = (group: string) =>
    primaryOf(context.groupOf(group)!.state.view)?.cfg.name ?? '';
  const lastSequence = new Map<string, number>();
  return {
    reportOwnSuspicion(group, term) {
      const now = context.clock.now();
      own.set(group, {term, at: now});
      const valid: SuspectedPrimary[] = [];
      for (const [name, suspicion] of own) {
        if (context.groupOf(name) && now - suspicion.at < context.validityMs) {
          valid.push({
            group: name,
            endpoint: endpointOf(name),
            term: suspicion.term,
          });
        } else own.delete(name);
      }
      context.broadcast(valid);
    },
    receiveReports(reports) {
      for (const [instance, {seq, suspected}] of reports) {
        // A report that was already processed says nothing about the present.
        if (
          instance === context.instance ||
          lastSequence.get(instance) === seq
        ) {
          continue;
        }
        lastSequence.set(instance, seq);
        for (const {group, term} of suspected) {
          context.groupOf(group)?.receiveSuspicion(instance, term);
        }
      }
    },
  };
}
