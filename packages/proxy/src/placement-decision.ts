/**
 * Decides what a group does with a request for a connection: which endpoint
 * runs it, whether it waits, or whether waiting is of no use.
 */
import {type Need, type PlacementOption, choosePlacement} from './placement.js';

/** What a group does with a request for a connection now. */
export type PlacementDecision =
  | {readonly type: 'take'; readonly endpoint: string}
  /** Neither is served now; for both a connection to `opening` is opened. */
  | {readonly type: 'wait'; readonly opening: string | undefined}
  | {readonly type: 'refuse'; readonly opening: string | undefined};

/** State of the group that the decision needs beside the options. */
export interface DecisionContext {
  /** Whether an idle connection that the need permits leads to the endpoint. */
  readonly hasConnection: (endpoint: string) => boolean;
  /** Whether no endpoint is expected to serve the need in time. */
  readonly isOutOfReach: () => boolean;
}

/** Decides on a request with `need`; changes nothing. */
export function decidePlacement(
  options: readonly PlacementOption[],
  need: Need,
  {hasConnection, isOutOfReach}: DecisionContext,
): PlacementDecision {
  const chosen = choosePlacement(options, need);
  if (chosen && hasConnection(chosen.id))
    return {type: 'take', endpoint: chosen.id};
  const opening = chosen ? undefined : endpointToOpen(options, need);
  return {type: isOutOfReach() ? 'refuse' : 'wait', opening};
}

/** The endpoint that would be chosen if it had an idle connection. */
function endpointToOpen(
  options: readonly PlacementOption[],
  need: Need,
): string | undefined {
  const withConnection = options.map(option => ({
    ...option,
    hasCapacity: option.isBelowLimit,
  }));
  return choosePlacement(withConnection, need)?.id;
}
