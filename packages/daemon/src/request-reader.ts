/** Groups a caller's messages into requests that are forwarded as a unit. */
import {type Statement, StatementClass, classify} from '@quetzalreel/statement';
import {
  type Frame,
  FrameError,
  checkExecute,
  closeStatement,
  message,
  readBindNames,
  readParse,
  readQuery,
  readTarget,
} from '@quetzalreel/wire';

/** Type of the response that one message of a request requires. */
export type RequestStep =
  'query' | 'parse' | 'bind' | 'execute' | 'close' | 'describe' | 'columns';

/** Messages up to a Sync, a Flush or a simple Query. */
export interface CallerRequest {
  /**
   * Bytes to send to the endpoint; they end with Sync, except for a simple
   * Query.
   */
  readonly bytes: Buffer;
  readonly statement: Statement;
  /** Text of a simple Query; undefined for the extended query protocol. */
  readonly sql: string | undefined;
  /** Number of frames at the start of the answer that are not forwarded. */
  readonly answerFramesToDrop: number;
  /**
   * True if the caller sent Flush instead of Sync, so that the answer must end
   * without ReadyForQuery.
   */
  readonly endsWithFlush: boolean;
  /** Response types of the caller's messages, in order. */
  readonly steps: readonly RequestStep[];
}

/** Takes frames in order and returns each request that they complete. */
export interface RequestReader {
  /** Returns the request that `frame` completes, if any. Throws FrameError. */
  push(frame: Frame): CallerRequest | undefined;
}

interface Prepared {
  readonly sql: string;
  /** The Parse message with its parameter types. */
  readonly frame: Buffer;
}

const SYNC = message('S', Buffer.alloc(0));

const FUNCTION_CALL: Statement = {
  class: StatementClass.Unsupported,
  verb: 'function call',
  mayWrite: true,
  leavesState: true,
};

/** Statement classes that apply even if the statement is only prepared. */
const CLASSIFIED_WHEN_PREPARED: ReadonlySet<StatementClass> = new Set([
  StatementClass.Unsupported,
  StatementClass.Session,
  StatementClass.Setting,
]);

/**
 * Messages of COPY, which the protocol requires to be ignored outside of COPY.
 */
const IGNORED_TYPES: ReadonlySet<string> = new Set(['d', 'c', 'f']);

/**
 * Creates a reader with no prepared statements. A request and all prepared
 * statements together are each limited to `maxBytes`.
 */
export function requestReader(maxBytes: number): RequestReader {
  const prepared = new Map<string, Prepared>();
  let preparedBytes = 0;
  let frames: Buffer[] = [];
  let bytes = 0;
  let steps: RequestStep[] = [];
  let statementTexts: string[] = [];
  let newlyPrepared = new Set<string>();
  let reprepared = new Set<string>();
  let closed = new Set<string>();

  function removePrepared(name: string): void {
    preparedBytes -= prepared.get(name)?.frame.length ?? 0;
    prepared.delete(name);
  }

  function prepare(frame: Frame): void {
    const {name, sql} = readParse(frame);
    removePrepared(name);
    preparedBytes += frame.bytes.length;
    if (preparedBytes > maxBytes) {
      throw new FrameError(
        `prepared statements of over ${maxBytes} bytes are open`,
        'Close the ones that are done, or raise --max-message-bytes.',
      );
    }
    prepared.set(name, {sql, frame: Buffer.from(frame.bytes)});
    newlyPrepared.add(name);
    closed.delete(name);
    statementTexts.push(sql);
  }

  /**
   * Includes a statement of an earlier request, which must be prepared again.
   */
  function includePrepared(name: string): void {
    const known = prepared.get(name);
    if (!known || newlyPrepared.has(name) || reprepared.has(name)) return;
    reprepared.add(name);
    statementTexts.push(known.sql);
  }

  function readStep(frame: Frame): RequestStep {
    switch (frame.type) {
      case 'P':
        prepare(frame);
        return 'parse';
      case 'B':
        includePrepared(readBindNames(frame).statement);
        return 'bind';
      case 'E':
        checkExecute(frame);
        return 'execute';
      case 'D': {
        const {target, name} = readTarget(frame);
        if (target === 'P') return 'columns';
        includePrepared(name);
        return 'describe';
      }
      case 'C': {
        const {target, name} = readTarget(frame);
        if (target === 'S') closed.add(name);
        return 'close';
      }
      default:
        throw new FrameError(
          `a message of type ${JSON.stringify(frame.type)} is not known`,
          'Use a driver that speaks protocol 3.',
        );
    }
  }

  /**
   * Classifies the collected statements; ones that are only prepared count as
   * reads.
   */
  function statementOf(): Statement {
    const statement = classify(statementTexts.join(';'));
    if (steps.includes('execute')) return statement;
    if (CLASSIFIED_WHEN_PREPARED.has(statement.class)) return statement;
    return {
      ...statement,
      class: StatementClass.Read,
      mayWrite: false,
      leavesState: false,
    };
  }

  function finish(endsWithFlush: boolean): CallerRequest {
    const hiddenMessages: Buffer[] = [];
    for (const name of reprepared) {
      hiddenMessages.push(closeStatement(name), prepared.get(name)!.frame);
    }
    // Another caller may have used the same name on this connection.
    for (const name of newlyPrepared) {
      if (name !== '') hiddenMessages.push(closeStatement(name));
    }
    const request = {
      bytes: Buffer.concat([...hiddenMessages, ...frames, SYNC]),
      statement: statementOf(),
      sql: undefined,
      answerFramesToDrop: hiddenMessages.length,
      endsWithFlush,
      steps,
    };
    for (const name of closed) removePrepared(name);
    frames = [];
    bytes = 0;
    steps = [];
    statementTexts = [];
    newlyPrepared = new Set();
    reprepared = new Set();
    closed = new Set();
    return request;
  }

  function standaloneRequest(frame: Frame, statement: Statement, sql: string) {
    const steps: RequestStep[] = ['query'];
    const request = {bytes: frame.bytes, statement, sql, steps};
    return {...request, answerFramesToDrop: 0, endsWithFlush: false};
  }

  return {
    push(frame) {
      if (frame.type === 'Q') {
        const sql = readQuery(frame);
        return standaloneRequest(frame, classify(sql), sql);
      }
      if (frame.type === 'S') return finish(false);
      if (frame.type === 'H') {
        return frames.length > 0 ? finish(true) : undefined;
      }
      if (frame.type === 'F')
        return standaloneRequest(frame, FUNCTION_CALL, '');
      if (IGNORED_TYPES.has(frame.type)) return undefined;
      steps.push(readStep(frame));
      frames.push(frame.bytes);
      bytes += frame.bytes.length;
      if (bytes > maxBytes) {
        throw new FrameError(
          `a request of over ${maxBytes} bytes has no Sync`,
          'Send Sync more often, or raise --max-message-bytes.',
        );
      }
      return undefined;
    },
  };
}
