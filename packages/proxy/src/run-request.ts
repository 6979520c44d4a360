/**
 * Runs requests on a leased connection, with a timeout, and records what their
 * answers reveal in the group. All statements of callers, peers and this
 * instance itself are sent here.
 */
import type {Clock} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  type EndpointRequest,
  SessionState,
} from '@quetzalreel/requests';
import type {GroupRuntime, ConnectionLease} from './group-types.js';

/** Dependencies for running a request. */
export interface RunContext {
  readonly clock: Clock;
  readonly group: GroupRuntime;
}

/** A request that opens a transaction. */
export type BeginRequest = Extract<EndpointRequest, {readonly type: 'begin'}>;

/**
 * Sends a request. After `timeoutMs` without an answer the connection is
 * closed, since the answer may still arrive late. Rejects with
 * ConnectionLostError.
 */
export function sendWithTimeout(
  clock: Clock,
  {pooled}: ConnectionLease,
  req: EndpointRequest,
  timeoutMs: number,
): Promise<Answer> {
  const {connection} = pooled;
  return new Promise((resolve, reject) => {
    const timer = clock.after(timeoutMs, () => {
      const what = `no answer within ${Math.round(timeoutMs)} ms`;
      reject(new ConnectionLostError(connection.endpoint, what, false));
      connection.dispose();
    });
    pooled.send(req).then(
      answer => {
        timer.dispose();
        resolve(answer);
      },
      err => {
        timer.dispose();
        reject(err);
      },
    );
  });
}

/**
 * Opens a transaction; success of one that is not read-only proves that the
 * endpoint is the primary.
 */
export async function openTransaction(
  {clock, group}: RunContext,
  lease: ConnectionLease,
  req: BeginRequest,
  timeoutMs: number,
): Promise<Answer> {
  const sentAt = clock.now();
  const answer = await sendWithTimeout(clock, lease, req, timeoutMs);
  group.noteAnswer(lease.link, answer, sentAt);
  const provesPrimary = !req.readOnly && !answer.error;
  if (provesPrimary) group.notePrimaryAnswer(lease.link, answer, sentAt);
  return answer;
}

/**
 * Runs a statement; a successful commit of writes proves that the endpoint is
 * the primary.
 */
export async function runStatement(
  {clock, group}: RunContext,
  lease: ConnectionLease,
  req: EndpointRequest,
  {timeoutMs, commits}: {readonly timeoutMs: number; readonly commits: boolean},
): Promise<Answer> {
  const sentAt = clock.now();
  const answer = await sendWithTimeout(clock, lease, req, timeoutMs);
  group.noteStatementAnswer(lease.link, answer, sentAt);
  if (commits && !answer.error)
    group.notePrimaryAnswer(lease.link, answer, sentAt);
  return answer;
}

/** Counts `work` as a statement in flight at the lease's endpoint. */
export async function countInFlight<T>(
  {link}: ConnectionLease,
  work: () => Promise<T>,
): Promise<T> {
  link.facts.inFlight++;
  try {
    return await work();
  } finally {
    link.facts.inFlight--;
  }
}

/**
 * Sends a rollback without waiting, and releases the connection after its
 * answer.
 */
export function rollBackAndRelease(lease: ConnectionLease): void {
  lease.pooled.send({type: 'rollback'}).then(
    answer => lease.release(answer.state === SessionState.Idle),
    // The sender of the request in flight logs the cause.
    () => lease.release(false),
  );
}
