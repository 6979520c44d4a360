/**
 * Requests over a lease: each bounded in time, and what its answer tells noted
 * in the group. Every statement, of a caller, of another instance or of this
 * instance's own, goes out here.
 */
import type {Clock} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  type EndpointRequest,
  SessionState,
} from '@quetzalreel/requests';
import type {GroupRuntime, ConnectionLease} from './group-types.js';

/** What running a request works with. */
export interface RunContext {
  readonly clock: Clock;
  readonly group: GroupRuntime;
}

/** A request that opens a transaction. */
export type BeginRequest = Extract<EndpointRequest, {readonly type: 'begin'}>;

/**
 * Sends a request; after `timeoutMs` without an answer the connection is
 * closed, since its answer may come late. Rejects with ConnectionLostError.
 */
export function sendWithTimeout(
  clock: Clock,
  {pooled}: ConnectionLease,
  req: EndpointRequest,
  timeoutMs: number,
): Promise<Answer> {
  const {connection} = pooled;
  return new Promise((resolve, reject) => {
    const late = clock.after(timeoutMs, () => {
      const what = `it was silent for ${Math.round(timeoutMs)} ms`;
      reject(new ConnectionLostError(connection.endpoint, what, false));
      connection.dispose();
    });
    pooled.send(req).then(
      answer => {
        late.dispose();
        resolve(answer);
      },
      err => {
        late.dispose();
        reject(err);
      },
    );
  });
}

/** Opens a transaction; a plain one proves that the endpoint leads. */
export async function openTransaction(
  {clock, group}: RunContext,
  lease: ConnectionLease,
  req: BeginRequest,
  timeoutMs: number,
): Promise<Answer> {
  const sentAt = clock.now();
  const answer = await sendWithTimeout(clock, lease, req, timeoutMs);
  group.noteAnswer(lease.link, answer, sentAt);
  const provesLead = !req.readOnly && !answer.error;
  if (provesLead) group.notePrimaryAnswer(lease.link, answer, sentAt);
  return answer;
}

/** Runs a statement; one that commits writes proves that the endpoint leads. */
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

/** Counts `work` among the statements under way at the lease's endpoint. */
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

/** Rolls back without waiting; the connection is free after the answer. */
export function rollBackAndRelease(lease: ConnectionLease): void {
  lease.pooled.send({type: 'rollback'}).then(
    answer => lease.release(answer.state === SessionState.Idle),
    // Whoever waits on this connection logs why it was lost.
    () => lease.release(false),
  );
}
