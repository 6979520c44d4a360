/**
 * Runs requests on a leased connection, with a timeout, and records what their
 * answers reveal in the group. All statements of callers, peers and this
 * instance itself are sent here.
 */
import type {Clock} from '@quetzalreel/common';
import {
  type Answer,
  type BeginRequest,
  ConnectionLostError,
  type EndpointRequest,
  SessionState,
  type StatementRequest,
} from '@quetzalreel/requests';
import {RelayedConnection} from '@quetzalreel/relay';
import {TIMES} from './defaults.js';
import type {GroupRuntime, ConnectionLease} from './group-types.js';

/** Dependencies for running a request. */
export interface RunContext {
  readonly clock: Clock;
  readonly group: GroupRuntime;
}

/**
 * Sends a request. After `timeoutMs` without an answer the connection is
 * closed, since the answer may still arrive late. Rejects with
 * ConnectionLostError.
 */
export function sendWithTimeout(
  clock: Clock,
  lease: ConnectionLease,
  req: EndpointRequest,
  timeoutMs: number,
): Promise<Answer> {
  return withTimeout(clock, lease, timeoutMs, () => lease.pooled.send(req));
}

function withTimeout(
  clock: Clock,
  {link, pooled}: ConnectionLease,
  timeoutMs: number,
  send: () => Promise<Answer>,
): Promise<Answer> {
  const {connection} = pooled;
  return new Promise((resolve, reject) => {
    const timer = clock.after(timeoutMs, () => {
      link.load.givenUp++;
      const what = `no answer within ${Math.round(timeoutMs)} ms`;
      reject(new ConnectionLostError(connection.endpoint, what, false));
      connection.dispose();
    });
    send().then(
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
  const provesPrimary =
    !req.readOnly && !answer.error && isUsableAsPrimary(group, lease);
  if (provesPrimary) group.notePrimaryAnswer(lease.link, answer, sentAt);
  return answer;
}

/** A transaction with its first statement. */
export interface OpeningRequest {
  readonly begin: BeginRequest;
  readonly statement: StatementRequest;
  /** Whether the transaction is rolled back after the statement. */
  readonly endsAfter: boolean;
}

/** The result of opening a transaction and running its first statement. */
export interface OpeningResult {
  /** Whether the transaction was opened; else `answer` tells why not. */
  readonly isOpened: boolean;
  readonly answer: Answer;
}

/**
 * The connection of the lease, if its relay opens a transaction and runs the first
 * statement by one request.
 */
export function openingRelay({
  pooled,
}: ConnectionLease): RelayedConnection | undefined {
  const {connection} = pooled;
  if (!(connection instanceof RelayedConnection)) return undefined;
  return connection.takesOpenAndRun ? connection : undefined;
}

/**
 * Opens a transaction and runs its first statement through a relay. Rejects with
 * ConnectionLostError; nothing is kept then.
 */
export async function openAndRun(
  {clock, group}: RunContext,
  lease: ConnectionLease,
  relay: RelayedConnection,
  req: OpeningRequest,
  timeoutMs: number,
): Promise<OpeningResult> {
  const sentAt = clock.now();
  const send = () => relay.openAndRun({type: 'openAndRun', ...req});
  const answer = await withTimeout(clock, lease, timeoutMs, send);
  const onPrimary = !req.begin.readOnly;
  const isOpened = req.endsAfter
    ? !answer.error
    : answer.state !== SessionState.Idle;
  group.noteStatementAnswer(lease.link, answer, sentAt, onPrimary);
  if (isOpened && onPrimary)
    group.notePrimaryAnswer(lease.link, answer, sentAt);
  return {isOpened, answer};
}

/** How a statement is run. */
export interface RunBounds {
  readonly timeoutMs: number;
  /** Whether it commits writes; success then proves the primary role. */
  readonly commits: boolean;
  /** Whether only the answer of the primary may be used. */
  readonly onPrimary: boolean;
}

/**
 * Runs a statement. Rejects with ConnectionLostError when there is no answer,
 * or when the endpoint may have been replaced as the primary meanwhile: its
 * answer proves nothing then.
 */
export async function runStatement(
  {clock, group}: RunContext,
  lease: ConnectionLease,
  req: EndpointRequest,
  {timeoutMs, commits, onPrimary}: RunBounds,
): Promise<Answer> {
  const sentAt = clock.now();
  const answer = await sendWithTimeout(clock, lease, req, timeoutMs).catch(
    (err: unknown) => {
      group.noteNoAnswer(lease.link, err, sentAt, onPrimary);
      throw err;
    },
  );
  const {id} = lease.link.listed;
  if (onPrimary && !answer.error && !isUsableAsPrimary(group, lease)) {
    const what = 'it may have been replaced as the primary before it answered';
    throw new ConnectionLostError(id, what, false);
  }
  group.noteStatementAnswer(lease.link, answer, sentAt, onPrimary);
  if (commits && !answer.error)
    group.notePrimaryAnswer(lease.link, answer, sentAt);
  return answer;
}

/**
 * Whether the endpoint may be used as the primary on this connection. On a
 * relayed one the instance that relays checks its own permission.
 */
export function isUsableAsPrimary(
  group: GroupRuntime,
  {link, pooled}: ConnectionLease,
): boolean {
  if (pooled.connection instanceof RelayedConnection) return true;
  return group.mayContinueOnPrimary(link.listed.id);
}

/** Counts `work` as a statement in flight at the lease's endpoint. */
export async function countInFlight<
  T extends Answer | OpeningResult | undefined,
>(lease: ConnectionLease, work: () => Promise<T>): Promise<T> {
  const {facts} = lease.link;
  if (!lease.isReserved) facts.inFlight++;
  lease.isReserved = false;
  let leavesOpen = false;
  try {
    const result = await work();
    leavesOpen = hasOpenTransaction(result);
    return result;
  } finally {
    facts.inFlight--;
    // Elsewhere the connection is released next, and waiting requests are served
    // then; now they would open another one.
    if (leavesOpen) lease.onStatementEnd?.();
  }
}

/** Whether a transaction stays open after the statement with this result. */
function hasOpenTransaction(
  result: Answer | OpeningResult | undefined,
): boolean {
  const answer = result && 'answer' in result ? result.answer : result;
  return answer !== undefined && answer.state !== SessionState.Idle;
}

/**
 * Sends a rollback without waiting, and releases the connection after its
 * answer; without one in time the connection is closed.
 */
export function rollBackAndRelease(clock: Clock, lease: ConnectionLease): void {
  const rollback = {type: 'rollback'} as const;
  sendWithTimeout(clock, lease, rollback, TIMES.rollBackTimeoutMs).then(
    answer => lease.release(answer.state === SessionState.Idle),
    // Counted as given up; closing the connection rolls back as well.
    () => lease.release(false),
  );
}
