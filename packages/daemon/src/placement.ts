/** Selects an endpoint for a request and takes a connection to it. */
import {messageOf} from '@quetzalreel/common';
import type {KindConfig} from '@quetzalreel/config';
import type {EndpointConnection} from '@quetzalreel/endpoint';
import {type Grant, RefusalReason} from '@quetzalreel/group';
import {SqlState} from '@quetzalreel/wire';
import type {RequestContext} from './session-context.js';

/** What a request requires of the endpoint that it runs on. */
export interface ConnectionRequest {
  readonly needsPrimary: boolean;
  readonly kind: KindConfig;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly bytes: number;
  /** Endpoints on which an earlier attempt of this request failed. */
  readonly avoid: readonly string[];
}

/** An endpoint granted to a request, and a connection not used by it yet. */
export interface PlacedConnection {
  readonly grant: Grant;
  /** Identifier of the request in its group. */
  readonly id: number;
  readonly connection: EndpointConnection;
}

/**
 * Longest wait of a read for a connection to one endpoint, in milliseconds;
 * another endpoint may have a free one.
 */
const READ_CONNECT_TIMEOUT_MS = 100;
/** Delay before a new attempt on the primary, in milliseconds. */
const PRIMARY_RETRY_DELAY_MS = 20;

/**
 * Resolves with a connection, or with undefined after the caller got an error
 * that says that nothing ran. No byte has been sent at this stage, so any
 * failure may be retried until the deadline.
 */
export async function acquireConnection(
  context: RequestContext,
  wanted: ConnectionRequest,
): Promise<PlacedConnection | undefined> {
  const {clock, group, floor, log, reply} = context;
  const {needsPrimary, deadline} = wanted;
  let avoid = wanted.avoid;
  do {
    const {current, unproved} = floor;
    const input = {...wanted, avoid, floor: current, unproved};
    const placement = await group.requestPlacement(input);
    if ('refused' in placement) {
      const {refused} = placement;
      const isTokenAhead = refused === RefusalReason.TokenAhead;
      const code = isTokenAhead ? SqlState.BadToken : SqlState.NotRun;
      reply.fail(code, `not run: ${refused}`);
      return undefined;
    }
    const {grant, id} = placement;
    floor.raise(grant.floor);
    try {
      const readUntil = clock.now() + READ_CONNECT_TIMEOUT_MS;
      const until = needsPrimary ? deadline : Math.min(readUntil, deadline);
      const connection = await group.takeConnection(
        grant.endpoint,
        needsPrimary,
        until,
      );
      return {grant, id, connection};
    } catch (err) {
      log.info({endpoint: grant.endpoint, why: messageOf(err)}, 'connect');
      group.release(grant.endpoint);
      // A read is retried on other endpoints first; after a second failure of
      // this one all endpoints are allowed again.
      const failedBefore = avoid.includes(grant.endpoint);
      if (!needsPrimary) avoid = failedBefore ? [] : [...avoid, grant.endpoint];
    }
    if (grant.role === 'primary') await clock.sleep(PRIMARY_RETRY_DELAY_MS);
  } while (clock.now() < deadline);
  reply.fail(SqlState.NotRun, 'not run: no connection to an endpoint');
  return undefined;
}

/**
 * Releases the endpoint and its connection. A setting or a lock that the
 * session left on it must not reach another caller, so the pool resets it first.
 */
export function releaseConnection(
  context: RequestContext,
  placed: PlacedConnection,
  reusable: boolean,
  elapsedMs?: number,
): void {
  context.group.release(placed.grant.endpoint, elapsedMs);
  if (context.connectionReset.needed) placed.connection.needsReset = true;
  context.group.returnConnection(placed.connection, reusable);
}
