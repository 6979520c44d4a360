/** One session of a caller: it asks, and keeps what its statements may rely
 * on. */
import type {WriteRecord} from '@quetzalreel/bench';
import {ErrorCode, didNotRun} from '@quetzalreel/requests';
import {
  type StandinCaller,
  openCaller,
  parseAnswer,
} from '@quetzalreel/platform-adapter/standin';
import type {SoakInstance} from './instance.js';
import type {Records} from './records.js';

/** Longest wait for an answer, in milliseconds; a caller's patience. */
const ANSWER_MS = 3000;

/** Whether a code promises that nothing of the attempt is kept. */
function isPromise(code: ErrorCode): boolean {
  return (
    didNotRun(code) ||
    code === ErrorCode.Aborted ||
    code === ErrorCode.NoDatabase ||
    code === ErrorCode.Malformed
  );
}

/** What one answer came to. */
export interface Reply {
  readonly rows: readonly string[];
  /** Whether it succeeded. */
  readonly isDone: boolean;
  /** The error's code; undefined also when no whole answer came. */
  readonly code: ErrorCode | undefined;
  /** How a write ended that this was the answer to. */
  readonly outcome: WriteRecord['outcome'];
}

/** A session. */
export interface Session {
  /** Names the session; another one has another name. */
  readonly name: string;
  readonly instance: string;
  readonly isOpen: boolean;
  /** Sends a statement, in the attempt of a transaction if one is named. */
  ask(text: string, transaction?: string): Promise<Reply>;
  /** Sets a value; false when that failed. */
  set(name: string, value: string): Promise<boolean>;
  /** Prepares a statement; false when that failed. */
  prepare(name: string, shape: string): Promise<boolean>;
  /** Executes a prepared statement. */
  execute(name: string, args: string): Promise<Reply>;
  end(): void;
}

const NO_ANSWER: Reply = {
  rows: [],
  isDone: false,
  code: undefined,
  outcome: 'unknown',
};

function replyOf(lines: readonly string[]): Reply {
  const {rows, code, isComplete} = parseAnswer(lines);
  if (code === undefined) {
    return isComplete
      ? {rows, isDone: true, code, outcome: 'acked'}
      : NO_ANSWER;
  }
  const failure = code === ErrorCode.Failed ? 'failed' : 'unknown';
  const outcome = isPromise(code) ? 'notRun' : failure;
  return {rows, isDone: false, code, outcome};
}

/** Waits no longer than a caller does; a late one ends its session. */
async function within(
  caller: StandinCaller,
  lines: Promise<readonly string[]>,
): Promise<readonly string[]> {
  const late = setTimeout(() => caller.dispose(), ANSWER_MS);
  try {
    return await lines;
  } finally {
    clearTimeout(late);
  }
}

/** Opens a session; undefined when it was refused or nobody answered. */
export async function openSession(
  name: string,
  instance: SoakInstance,
  database: string,
  records: Records,
): Promise<Session | undefined> {
  let caller: StandinCaller;
  try {
    caller = await openCaller(instance.callers.port);
  } catch {
    // The instance is gone: the caller goes to another one.
    return undefined;
  }
  const started = await within(caller, caller.start(database, name));
  if (!replyOf(started).isDone) {
    caller.dispose();
    return undefined;
  }
  let lastId = 0;
  let values: Readonly<Record<string, string>> = {};
  const shapes = new Map<string, string>();

  async function send(text: string): Promise<Reply> {
    if (!caller.isOpen) return NO_ANSWER;
    return replyOf(await within(caller, caller.ask(text)));
  }

  async function sendNoted(
    text: string,
    transaction: string | undefined,
    shape: string | undefined,
  ): Promise<Reply> {
    const id = `${name}-${++lastId}`;
    records.statements.set(id, {id, text, transaction, values, shape});
    if (!caller.isOpen) return NO_ANSWER;
    return replyOf(await within(caller, caller.askWithId(id, text)));
  }

  return {
    name,
    instance: instance.name,
    get isOpen() {
      return caller.isOpen;
    },
    ask: (text, transaction) => sendNoted(text, transaction, undefined),
    async set(key, value) {
      const {isDone} = await send(`SET ${key} ${value}`);
      if (isDone) values = {...values, [key]: value};
      return isDone;
    },
    async prepare(statement, shape) {
      const {isDone} = await send(`PARSE ${statement} ${shape}`);
      if (isDone) shapes.set(statement, shape);
      return isDone;
    },
    execute: (statement, args) =>
      sendNoted(
        `EXECUTE ${statement} ${args}`,
        undefined,
        shapes.get(statement),
      ),
    end: () => caller.dispose(),
  };
}
