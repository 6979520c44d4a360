/**
 * Probes an endpoint for liveness, role and log position at once: opening a
 * transaction and rolling it back takes no slot, is refused by a replica, and
 * is answered with the log position.
 */
import {messageOf} from '@quetzalreel/common';
import {ConnectionLostError, SessionState} from '@quetzalreel/requests';
import {RelayedConnection} from '@quetzalreel/relay';
import type {ConnectionLease} from './group-types.js';
import type {Log} from './log.js';
import {
  type RunContext,
  rollBackAndRelease,
  openTransaction,
} from './run-request.js';

/** Dependencies of a probe. */
export interface ProbeContext extends RunContext {
  readonly log: Log;
  readonly timeoutMs: number;
}

/** Probes the endpoint on the connection of `lease` and releases it. */
export async function probe(
  lease: ConnectionLease,
  context: ProbeContext,
): Promise<void> {
  const {connection} = lease.pooled;
  if (connection instanceof RelayedConnection) {
    await fetchObservation(lease, connection, context);
  } else {
    await probeDirectly(lease, context);
  }
}

/**
 * Asks the holder for its observation instead of probing the endpoint through
 * it. The holder probes the endpoint itself; a probe of every instance would
 * wait behind statements, and the delay would look like an unresponsive
 * endpoint.
 */
async function fetchObservation(
  lease: ConnectionLease,
  connection: RelayedConnection,
  {clock, log, timeoutMs}: ProbeContext,
): Promise<void> {
  const {link} = lease;
  const askedAt = clock.now();
  try {
    const observation = await connection.fetchObservation(timeoutMs);
    lease.release(true);
    link.noteObservation(observation, askedAt);
  } catch (err) {
    lease.release(false);
    link.noteRelayFailure(connection.relay);
    const endpoint = link.listed.id;
    log.info({event: 'signLost', endpoint, why: messageOf(err)});
  }
}

async function probeDirectly(
  lease: ConnectionLease,
  context: ProbeContext,
): Promise<void> {
  const {clock, log, timeoutMs} = context;
  const {link} = lease;
  const sentAt = clock.now();
  const begin = {type: 'begin', readOnly: false} as const;
  try {
    const answer = await openTransaction(context, lease, begin, timeoutMs);
    if (answer.state === SessionState.Idle) lease.release(true);
    else rollBackAndRelease(clock, lease);
  } catch (err) {
    lease.release(false);
    const wasReset = err instanceof ConnectionLostError && err.wasReset;
    link.noteUnanswered(sentAt, wasReset);
    // After one unresponsive connection the idle ones are suspect too.
    link.closeIdle();
    const endpoint = link.listed.id;
    log.info({event: 'probeLost', endpoint, why: messageOf(err)});
  }
}
