/** The actor of one caller's session: serves its requests one by one. */
import type {Socket} from 'node:net';
import {type Clock, messageOf} from '@quetzalreel/common';
import {
  type Configuration,
  DEFAULT_READ,
  DEFAULT_WRITE,
  type KindConfig,
} from '@quetzalreel/config';
import type {EndpointConnection} from '@quetzalreel/endpoint';
import type {Grant} from '@quetzalreel/group';
import {type Position, laterOf} from '@quetzalreel/position';
import {StatementClass} from '@quetzalreel/statement';
import {
  SqlState,
  TransactionStatus,
  errorResponse,
  readyForQuery,
} from '@quetzalreel/wire';
import {type Answer, ask} from './answer.js';
import type {GroupHandle} from './group-actor.js';
import type {Log} from './log.js';
import type {CallerRequest} from './request-reader.js';

/** What a session works with. */
export interface SessionContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: Socket;
  readonly group: GroupHandle;
  readonly configuration: () => Configuration;
}

/** A caller's session. */
export interface CallerSession {
  /** Serves a request; resolves when its answer is written. */
  serve(request: CallerRequest): Promise<void>;
  /** True while a transaction is open. */
  readonly inTransaction: boolean;
  /** Ends what the caller left open. */
  close(): void;
}

interface Pinned {
  readonly connection: EndpointConnection;
  readonly grant: Grant;
  readonly id: number;
}

/** Tries of a request that was proved not to have run. */
const MAX_TRIES = 4;

/** A session without a transaction and without a floor. */
export function callerSession(context: SessionContext): CallerSession {
  const {clock, group, socket} = context;
  let floor: Position | undefined;
  let pinned: Pinned | undefined;
  let status: TransactionStatus = TransactionStatus.Idle;

  function fail(code: string, message: string): void {
    socket.write(errorResponse({severity: 'ERROR', code, message}));
    socket.write(readyForQuery(status));
  }

  function kindOf(request: CallerRequest): KindConfig | undefined {
    const {kind, class: statementClass} = request.statement;
    if (kind === undefined) {
      const isRead = statementClass === StatementClass.Read;
      return isRead ? DEFAULT_READ : DEFAULT_WRITE;
    }
    return context.configuration().kinds.find(item => item.name === kind);
  }

  async function serve(request: CallerRequest): Promise<void> {
    if (request.statement.class === StatementClass.Unsupported) {
      const verb = request.statement.verb;
      fail(SqlState.NotSupported, `${verb} is not offered here; not run`);
      return;
    }
    if (pinned) return serveInTransaction(pinned, request);
    const kind = kindOf(request);
    if (!kind) {
      const name = request.statement.kind;
      fail(SqlState.NotRoutable, `no kind ${name} is configured; not run`);
      return;
    }
    await serveAlone(request, kind);
  }

  async function serveAlone(
    request: CallerRequest,
    kind: KindConfig,
  ): Promise<void> {
    const isRead = request.statement.class === StatementClass.Read;
    const deadline = clock.now() + kind.deadlineMs;
    const avoid: string[] = [];
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const placement = await group.request({
        needsPrimary: !isRead,
        kind,
        floor,
        deadline,
        bytes: request.bytes.length,
        avoid,
      });
      if ('refused' in placement) {
        fail(SqlState.NotRun, `not run: ${placement.refused}`);
        return;
      }
      const {grant, id} = placement;
      floor = floor ? laterOf(floor, grant.floor) : grant.floor;
      const outcome = await runOn(grant, id, request, isRead, deadline);
      if (outcome === 'done') return;
      if (isRead) avoid.push(grant.endpoint);
    }
    fail(SqlState.NotRun, 'not run: no endpoint took the request');
  }

  /** Runs a request on a granted endpoint; `retry` when it did not run. */
  async function runOn(
    grant: Grant,
    id: number,
    request: CallerRequest,
    isRead: boolean,
    deadline: number,
  ): Promise<'done' | 'retry'> {
    let connection: EndpointConnection;
    try {
      connection = await group.take(grant.endpoint);
    } catch (err) {
      context.log.info(
        {endpoint: grant.endpoint, why: messageOf(err)},
        'connect',
      );
      group.release(grant.endpoint);
      return 'retry';
    }
    let answer: Answer;
    try {
      answer = await ask(connection, request.bytes, request.hiddenFrames);
    } catch (err) {
      group.release(grant.endpoint);
      group.give(connection, false);
      if (isRead) return 'retry';
      fail(SqlState.OutcomeUnknown, `outcome unknown: ${messageOf(err)}`);
      return 'done';
    }
    if (answer.error?.code === SqlState.ReadOnly) {
      finish(grant, connection);
      return 'retry';
    }
    if (answer.status !== TransactionStatus.Idle) {
      pinned = {connection, grant, id};
      status = answer.status;
      socket.write(answer.bytes);
      return 'done';
    }
    const committed = connection.committed;
    finish(grant, connection);
    await acknowledge(id, answer, committed, deadline);
    return 'done';
  }

  function finish(grant: Grant, connection: EndpointConnection): void {
    group.release(grant.endpoint);
    group.give(connection, true);
  }

  /** Writes an answer once what it says is safe. */
  async function acknowledge(
    id: number,
    answer: Answer,
    committed: Position | undefined,
    deadline: number,
  ): Promise<void> {
    if (!committed) {
      socket.write(answer.bytes);
      return;
    }
    const result = await group.written(id, committed, deadline);
    floor = floor ? laterOf(floor, committed) : committed;
    if (result === 'acknowledged') socket.write(answer.bytes);
    else fail(SqlState.OutcomeUnknown, 'outcome unknown: no majority held it');
  }

  async function serveInTransaction(
    held: Pinned,
    request: CallerRequest,
  ): Promise<void> {
    const {connection, grant, id} = held;
    const commits = request.statement.class === StatementClass.Commit;
    let answer: Answer;
    try {
      answer = await ask(connection, request.bytes, request.hiddenFrames);
    } catch (err) {
      pinned = undefined;
      status = TransactionStatus.Idle;
      group.release(grant.endpoint);
      group.give(connection, false);
      const code = commits
        ? SqlState.OutcomeUnknown
        : SqlState.TransactionRollback;
      fail(code, `the transaction was cut off: ${messageOf(err)}`);
      return;
    }
    status = answer.status;
    if (status !== TransactionStatus.Idle) {
      socket.write(answer.bytes);
      return;
    }
    pinned = undefined;
    const committed = connection.committed;
    finish(grant, connection);
    const deadline = clock.now() + DEFAULT_WRITE.deadlineMs;
    await acknowledge(id, answer, committed, deadline);
  }

  return {
    serve,
    get inTransaction() {
      return pinned !== undefined;
    },
    close() {
      if (!pinned) return;
      group.release(pinned.grant.endpoint);
      group.give(pinned.connection, false);
      pinned = undefined;
    },
  };
}
