/** Finds a request a place on an endpoint and a connection to it. */
import {messageOf} from '@quetzalreel/common';
import type {KindConfig} from '@quetzalreel/config';
import type {EndpointConnection} from '@quetzalreel/endpoint';
import {type Grant, RefusalReason} from '@quetzalreel/group';
import {SqlState} from '@quetzalreel/wire';
import type {RequestContext} from './session-context.js';

/** A request that wants a place. */
export interface PlaceRequest {
  readonly needsPrimary: boolean;
  readonly kind: KindConfig;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly bytes: number;
  /** Endpoints that failed it already. */
  readonly avoid: readonly string[];
}

/** A granted place and a connection that nothing was sent on. */
export interface Placed {
  readonly grant: Grant;
  /** Identity of the request in its group. */
  readonly id: number;
  readonly connection: EndpointConnection;
}

/** Longest wait of a read for a connection; another endpoint may have one. */
const READ_CONNECT_MS = 100;
/** Pause before the primary is tried again, in milliseconds. */
const RETRY_MS = 20;

/**
 * A place, or undefined after the caller was told that nothing ran. Until the
 * first byte is sent everything may be tried again, up to the deadline.
 */
export async function findPlace(
  context: RequestContext,
  wanted: PlaceRequest,
): Promise<Placed | undefined> {
  const {clock, group, floor, log, reply} = context;
  const {needsPrimary, deadline} = wanted;
  let avoid = wanted.avoid;
  do {
    const {current, unproved} = floor;
    const input = {...wanted, avoid, floor: current, unproved};
    const placement = await group.request(input);
    if ('refused' in placement) {
      const {refused} = placement;
      const isAhead = refused === RefusalReason.TokenAhead;
      const code = isAhead ? SqlState.BadToken : SqlState.NotRun;
      reply.fail(code, `not run: ${refused}`);
      return undefined;
    }
    const {grant, id} = placement;
    floor.raise(grant.floor);
    try {
      const patience = clock.now() + READ_CONNECT_MS;
      const until = needsPrimary ? deadline : Math.min(patience, deadline);
      const connection = await group.take(grant.endpoint, needsPrimary, until);
      return {grant, id, connection};
    } catch (err) {
      log.info({endpoint: grant.endpoint, why: messageOf(err)}, 'connect');
      group.release(grant.endpoint);
      // A read goes elsewhere first, then may come back.
      const tried = avoid.includes(grant.endpoint);
      if (!needsPrimary) avoid = tried ? [] : [...avoid, grant.endpoint];
    }
    if (grant.role === 'primary') await clock.sleep(RETRY_MS);
  } while (clock.now() < deadline);
  reply.fail(SqlState.NotRun, 'not run: no connection to an endpoint');
  return undefined;
}

/**
 * Gives a place and its connection back. A setting or a lock that the session
 * left on it must not reach another caller, so the pool resets it first.
 */
export function giveBack(
  context: RequestContext,
  placed: Placed,
  reusable: boolean,
  elapsedMs?: number,
): void {
  context.group.release(placed.grant.endpoint, elapsedMs);
  if (context.residue.left) placed.connection.needsReset = true;
  context.group.give(placed.connection, reusable);
}
