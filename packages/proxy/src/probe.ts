/**
 * Asks an endpoint for a sign of life, its role and its position at once: a
 * transaction that is opened and rolled back takes no slot, is refused by a
 * replica, and its answer carries the position of the log.
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

/** What a probe works with. */
export interface ProbeContext extends RunContext {
  readonly log: Log;
  readonly timeoutMs: number;
}

/** Probes over `lease` and gives it back. */
export async function probe(
  lease: ConnectionLease,
  context: ProbeContext,
): Promise<void> {
  const {connection} = lease.pooled;
  if (connection instanceof RelayedConnection) {
    await askForSign(lease, connection, context);
  } else {
    await probeDirectly(lease, context);
  }
}

/**
 * Asks the instance that holds connections what it knows: it probes the
 * endpoint itself, and a question of each instance would wait there behind
 * statements and seem to be the endpoint's silence.
 */
async function askForSign(
  lease: ConnectionLease,
  connection: RelayedConnection,
  {clock, log, timeoutMs}: ProbeContext,
): Promise<void> {
  const {link} = lease;
  const askedAt = clock.now();
  try {
    const sign = await connection.fetchObservation(timeoutMs);
    lease.release(true);
    link.noteObservation(sign, askedAt);
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
    else rollBackAndRelease(lease);
  } catch (err) {
    lease.release(false);
    const wasReset = err instanceof ConnectionLostError && err.wasReset;
    link.noteUnanswered(sentAt, wasReset);
    // One silent connection makes the others doubtful.
    link.closeIdle();
    const endpoint = link.listed.id;
    log.info({event: 'probeLost', endpoint, why: messageOf(err)});
  }
}
