/** Gathers a caller's messages into requests that are answered as a whole. */
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

/** What a request expects back for one of its messages. */
export type RequestStep =
  'query' | 'parse' | 'bind' | 'execute' | 'close' | 'describe' | 'columns';

/** Messages that get one answer. */
export interface CallerRequest {
  /** Bytes for the endpoint; they end with a Sync unless it is a Query. */
  readonly bytes: Buffer;
  readonly statement: Statement;
  /** Text of the only simple query; undefined for extended requests. */
  readonly sql: string | undefined;
  /** Frames to leave out at the start of the answer. */
  readonly hiddenFrames: number;
  /**
   * True when the caller sent Flush and no Sync yet: its answer ends without
   * ReadyForQuery.
   */
  readonly endsWithFlush: boolean;
  /** What the caller's messages ask for, in order. */
  readonly steps: readonly RequestStep[];
}

/** Takes frames in order and gives back the requests they complete. */
export interface RequestReader {
  /** Undefined until a request is whole. Throws FrameError. */
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

/** Classes that matter even when the statement is prepared and not run. */
const CLASSIFIED_WHEN_PREPARED: ReadonlySet<StatementClass> = new Set([
  StatementClass.Unsupported,
  StatementClass.Session,
  StatementClass.Setting,
]);

/** Messages of COPY, which the protocol ignores outside of COPY. */
const IGNORED_TYPES: ReadonlySet<string> = new Set(['d', 'c', 'f']);

/** A reader with no prepared statements; one request takes `maxBytes`. */
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

  /** A statement prepared by an earlier request is prepared again here. */
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

  /** What the gathered statements ask for, when they are only prepared too. */
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
    // A name may be taken on the connection by another caller's statement.
    for (const name of newlyPrepared) {
      if (name !== '') hiddenMessages.push(closeStatement(name));
    }
    const request = {
      bytes: Buffer.concat([...hiddenMessages, ...frames, SYNC]),
      statement: statementOf(),
      sql: undefined,
      hiddenFrames: hiddenMessages.length,
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
    return {...request, hiddenFrames: 0, endsWithFlush: false};
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
