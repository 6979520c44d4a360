/** Gathers a caller's messages into requests that are answered as a whole. */
import {type Statement, StatementClass, classify} from '@quetzalreel/statement';
import {
  type Frame,
  closeStatement,
  parse,
  readBind,
  readParse,
  readQuery,
  readTarget,
} from '@quetzalreel/wire';

/** Messages that get one answer, up to ReadyForQuery. */
export interface CallerRequest {
  /** Bytes for the endpoint. */
  readonly bytes: Buffer;
  readonly statement: Statement;
  /** Text of the only simple query; undefined for extended requests. */
  readonly sql: string | undefined;
  /** Frames to leave out at the start of the answer. */
  readonly hiddenFrames: number;
}

/** Takes frames in order and gives back the requests they complete. */
export interface RequestReader {
  /** Undefined until a request is whole. Throws FrameError. */
  push(frame: Frame): CallerRequest | undefined;
}

const SYNC = 'S';

const UNSUPPORTED_CALL: Statement = {
  class: StatementClass.Unsupported,
  verb: 'function call',
  mayWrite: true,
  leavesState: true,
};

/** A reader with no prepared statements. */
export function requestReader(): RequestReader {
  const prepared = new Map<string, string>();
  let frames: Buffer[] = [];
  let texts: string[] = [];
  let fresh = new Set<string>();
  let borrowed = new Set<string>();

  function note(frame: Frame): void {
    if (frame.type === 'P') {
      const {name, sql} = readParse(frame);
      prepared.set(name, sql);
      fresh.add(name);
      texts.push(sql);
    } else if (frame.type === 'B') {
      use(readBind(frame).statement);
    } else if (frame.type === 'D' || frame.type === 'C') {
      const {target, name} = readTarget(frame);
      if (target === 'S') use(name);
    }
  }

  /** A statement prepared by an earlier request is prepared again here. */
  function use(name: string): void {
    const sql = prepared.get(name);
    if (sql === undefined || fresh.has(name)) return;
    borrowed.add(name);
    texts.push(sql);
  }

  function finish(sync: Buffer): CallerRequest {
    const again: Buffer[] = [];
    for (const name of borrowed) {
      again.push(closeStatement(name), parse(name, prepared.get(name)!));
    }
    // A name may be taken on the connection by another caller's statement.
    for (const name of fresh) {
      if (name !== '') again.push(closeStatement(name));
    }
    const request = {
      bytes: Buffer.concat([...again, ...frames, sync]),
      statement: classify(texts.join(';')),
      sql: undefined,
      hiddenFrames: again.length,
    };
    frames = [];
    texts = [];
    fresh = new Set();
    borrowed = new Set();
    return request;
  }

  return {
    push(frame) {
      if (frame.type === 'Q') {
        const sql = readQuery(frame);
        const statement = classify(sql);
        return {bytes: frame.bytes, statement, sql, hiddenFrames: 0};
      }
      if (frame.type === SYNC) return finish(frame.bytes);
      if (frame.type === 'F') {
        return {
          bytes: frame.bytes,
          statement: UNSUPPORTED_CALL,
          sql: '',
          hiddenFrames: 0,
        };
      }
      note(frame);
      frames.push(frame.bytes);
      return undefined;
    },
  };
}
