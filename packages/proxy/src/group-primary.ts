/**
 * Which endpoint of a group is believed to be the primary, and whether this
 * instance may use it.
 */
import type {Clock} from '@quetzalreel/common';
import type {EndpointLink} from './endpoint-link.js';
import {primaryOf} from './leadership.js';
import type {Log} from './log.js';
import type {PrimaryUse} from './primary-use.js';

/** Dependencies of a group's primary. */
export interface GroupPrimaryContext {
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly primaryUse: PrimaryUse;
  readonly links: ReadonlyMap<string, EndpointLink>;
  /** Called when another endpoint, or none, is believed to be the primary. */
  readonly onChange: () => void;
}

/** The primary of one group. */
export interface GroupPrimary {
  /** Undefined if none is known. */
  readonly id: string | undefined;
  /** Id of the last known primary; '' for none. */
  readonly lastId: string;
  /** Time from which no primary is known; undefined while there is one. */
  readonly missingSince: number | undefined;
  /** Determines the primary again, from the evidence of the links. */
  find(): void;
  /** Records that the role in an endpoint's entry has changed. */
  noteListedRole(endpoint: string): void;
  /** Drops the state of an endpoint that is no longer listed. */
  forget(endpoint: string): void;
  /** Whether a known change replaces the endpoint. */
  isReplaced(endpoint: string): boolean;
  /** See `GroupRuntime`. */
  mayStart(endpoint: string): boolean;
  /** See `GroupRuntime`. */
  mayContinue(endpoint: string): boolean;
  /** See `GroupRuntime`. */
  noteChange(): void;
  /** See `GroupRuntime`. */
  readonly work: number;
  /** See `GroupRuntime`. */
  countWork(): () => void;
}

/** Starts without a primary. */
export function groupPrimary(context: GroupPrimaryContext): GroupPrimary {
  const {name, clock, log, primaryUse, links} = context;
  /** When the role in each endpoint's entry last changed. */
  const roleListedAt = new Map<string, number>();
  let id: string | undefined;
  let lastId = '';
  let missingSince: number | undefined = clock.now();
  let work = 0;
  /** The newest change that was applied, as `fence planned`. */
  let appliedChange = '';

  function isReplaced(endpoint: string): boolean {
    return primaryUse.replacementOf(name, endpoint) !== undefined;
  }

  function find(): void {
    const current = [...links.values()].filter(
      ({listed}) => !isReplaced(listed.id),
    );
    const evidence = current.map(({listed, facts}) => ({
      id: listed.id,
      term: facts.position?.term ?? 0,
      saysPrimary: listed.saysPrimary,
      saidAt: roleListedAt.get(listed.id) ?? -Infinity,
      ledAt: facts.provenPrimaryAt,
      deniedAt: facts.provenNotPrimaryAt,
    }));
    const found = primaryOf(evidence);
    if (found === id) return;
    log.info({
      event: 'primaryChanged',
      group: name,
      from: id,
      to: found,
      evidence,
    });
    id = found;
    lastId = found ?? lastId;
    missingSince = found ? undefined : clock.now();
    context.onChange();
  }

  return {
    get id() {
      return id;
    },
    get lastId() {
      return lastId;
    },
    get missingSince() {
      return missingSince;
    },
    find,
    noteListedRole(endpoint) {
      roleListedAt.set(endpoint, clock.now());
    },
    forget(endpoint) {
      roleListedAt.delete(endpoint);
    },
    isReplaced,
    mayStart: endpoint => primaryUse.isPermitted && !isReplaced(endpoint),
    mayContinue(endpoint) {
      if (!primaryUse.isPermitted) return false;
      const change = primaryUse.replacementOf(name, endpoint);
      if (!change) return true;
      return change.isPlanned && change.from === endpoint;
    },
    noteChange() {
      for (const {listed, closeAll} of links.values()) {
        const change = primaryUse.replacementOf(name, listed.id);
        const wasPrimary = listed.id === lastId || listed.id === change?.from;
        if (!change || !wasPrimary) continue;
        const key = `${change.fence} ${change.isPlanned}`;
        if (key === appliedChange) continue;
        appliedChange = key;
        log.info({event: 'primaryReplaced', ...change});
        // Its answers could no longer be used, so callers learn that at once.
        if (!change.isPlanned) closeAll();
      }
      find();
    },
    get work() {
      return work;
    },
    countWork() {
      work++;
      let isCounted = true;
      return () => {
        if (isCounted) work--;
        isCounted = false;
      };
    },
  };
}
