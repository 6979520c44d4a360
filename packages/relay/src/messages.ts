/** The messages between an instance and a peer's relay. */
import {
  Access,
  type Answer,
  type AnswerError,
  type BeginRequest,
  type EndpointRequest,
  ErrorCode,
  type PaceReport,
  type RequestOrigin,
  SessionState,
  type StatementRequest,
} from '@quetzalreel/requests';
import {type Position, isPosition} from '@quetzalreel/position';

/** The requested endpoint; the first frame that a requester sends. */
export interface RelayTarget {
  readonly group: string;
  readonly endpoint: string;
}

/**
 * What a relaying instance has observed of an endpoint, reported without
 * sending anything to it.
 */
export interface EndpointObservation {
  /** Newest known log position; undefined when none was observed. */
  readonly position: Position | undefined;
  /** Time since the last contact with the endpoint, in milliseconds. */
  readonly heardMsAgo: number;
  /**
   * Age of its oldest unanswered request, in milliseconds; undefined when there
   * is none.
   */
  readonly silentMs: number | undefined;
  /** Whether the endpoint refuses or resets connections. */
  readonly isRefusing: boolean;
  /** How the endpoint responds; undefined while it is well. */
  readonly pace?: PaceReport | undefined;
}

/**
 * Requests the relay's observation of the endpoint; uses no connection to the
 * endpoint itself.
 */
export interface ObservationRequest {
  readonly type: 'sign';
}

/**
 * Opens a transaction and runs its first statement. The relaying instance sends both
 * to the endpoint, which spares the requester a round trip. Answered with the error
 * of the first, in an idle state, or with the answer to the second.
 */
export interface OpenAndRunRequest {
  readonly type: 'openAndRun';
  readonly begin: BeginRequest;
  readonly statement: StatementRequest;
  /** Whether the transaction is rolled back after the statement. */
  readonly endsAfter: boolean;
}

/** A request to a relay. */
export type RelayRequest = EndpointRequest | OpenAndRunRequest;

/** Version of the requests that a relay takes; from 1 on `openAndRun`. */
export const RELAY_VERSION = 1;

/** A message from a relay to a requester. */
export type RelayMessage =
  /** The target is accepted; requests may follow. */
  | {
      readonly type: 'open';
      /** Of the requests that it takes; missing in older builds. */
      readonly version?: number;
    }
  /** The first rows of a long answer, which follows. */
  | {readonly type: 'rows'; readonly rows: readonly string[]}
  /** The answer to the oldest unanswered request, with its last rows. */
  | {readonly type: 'answer'; readonly answer: Answer}
  /** The answer to the oldest unanswered `sign` request. */
  | {readonly type: 'sign'; readonly sign: EndpointObservation}
  /**
   * The relay lost its connection to the endpoint; all requests in flight are
   * lost.
   */
  | {
      readonly type: 'lost';
      readonly what: string;
      /** Whether the connection was reset or refused at the endpoint's end. */
      readonly wasReset: boolean;
    }
  /**
   * The relaying instance is stopping: it accepts no new work, while open
   * transactions may finish.
   */
  | {readonly type: 'stopping'};

/** Longest text of a statement or row, in characters; set by the callers'
 * protocol. */
const MAX_TEXT_LENGTH = 1024 * 1024;

/**
 * Maximum frame size, in bytes: the longest text, whose characters may take two
 * bytes each, and other rows or metadata.
 */
export const MAX_FRAME_BYTES = 4 * MAX_TEXT_LENGTH;

/**
 * Divides an answer into messages of which each fits in a frame. Short answers
 * are one message.
 */
export function* answerMessages(answer: Answer): Generator<RelayMessage> {
  let rows: string[] = [];
  let length = 0;
  for (const row of answer.rows) {
    if (length + row.length > MAX_TEXT_LENGTH && rows.length > 0) {
      yield {type: 'rows', rows};
      rows = [];
      length = 0;
    }
    rows.push(row);
    length += row.length;
  }
  yield {type: 'answer', answer: {...answer, rows}};
}

type Fields = Readonly<Record<string, unknown>>;

/** Checks the fields of a value that has one of the types. */
type Checks<Type extends string> = Readonly<
  Record<Type, (fields: Fields) => boolean>
>;

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isFlag(value: unknown): value is boolean {
  return typeof value === 'boolean';
}

function isMissingOr(
  value: unknown,
  check: (value: unknown) => boolean,
): boolean {
  return value === undefined || check(value);
}

const REQUEST_CHECKS: Checks<RelayRequest['type']> = {
  openAndRun: ({begin, statement, endsAfter}) =>
    hasTypeOf(begin, ['begin']) &&
    hasTypeOf(statement, ['forward', 'execute']) &&
    isFlag(endsAfter),
  forward: ({id, text, atLeast}) =>
    isText(id) && isText(text) && isMissingOr(atLeast, isPosition),
  execute: ({id, name, args, atLeast}) =>
    [id, name, args].every(isText) && isMissingOr(atLeast, isPosition),
  begin: ({readOnly, atLeast}) =>
    isFlag(readOnly) && isMissingOr(atLeast, isPosition),
  rollback: () => true,
  set: ({name, value}) => isText(name) && isText(value),
  prepare: ({name, access, shape}) =>
    isText(name) && ACCESSES.has(access) && isText(shape),
  discard: () => true,
  status: () => true,
  stepDown: ({term}) => Number.isSafeInteger(term),
};

/** Whether a value is a valid request of one of the types. */
function hasTypeOf(
  value: unknown,
  types: ReadonlyArray<EndpointRequest['type']>,
): boolean {
  if (!isRequest(value)) return false;
  return types.some(type => type === value.type);
}

const OBSERVATION_REQUEST_CHECKS: Checks<ObservationRequest['type']> = {
  sign: () => true,
};

const MESSAGE_CHECKS: Checks<RelayMessage['type']> = {
  open: ({version}) => isMissingOr(version, Number.isSafeInteger),
  rows: ({rows}) => isTextList(rows),
  answer: ({answer}) => isAnswer(answer),
  sign: ({sign}) => isObservation(sign),
  lost: ({what, wasReset}) => isText(what) && isFlag(wasReset),
  stopping: () => true,
};

const ACCESSES: ReadonlySet<unknown> = new Set(Object.values(Access));
const STATES: ReadonlySet<unknown> = new Set(Object.values(SessionState));
const CODES: ReadonlySet<unknown> = new Set(Object.values(ErrorCode));

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null;
}

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every(isText);
}

function isAnswer(value: unknown): value is Answer {
  if (!isFields(value)) return false;
  const {rows, signature, error, state, position} = value;
  return (
    isTextList(rows) &&
    STATES.has(state) &&
    isMissingOr(signature, isText) &&
    isMissingOr(error, isAnswerError) &&
    isMissingOr(position, isPosition)
  );
}

function isAnswerError(value: unknown): value is AnswerError {
  return isFields(value) && CODES.has(value['code']) && isText(value['text']);
}

function isObservation(value: unknown): value is EndpointObservation {
  if (!isFields(value)) return false;
  const {position, heardMsAgo, silentMs, isRefusing} = value;
  return (
    isMissingOr(position, isPosition) &&
    isAge(heardMsAgo) &&
    isMissingOr(silentMs, isAge) &&
    isFlag(isRefusing)
  );
}

/** An age in milliseconds; infinite for never. */
function isAge(value: unknown): value is number {
  return typeof value === 'number' && value >= 0;
}

function isOneOf<Type extends string>(
  value: unknown,
  checks: Checks<Type>,
): boolean {
  if (!isFields(value)) return false;
  const {type} = value;
  if (!isText(type) || !Object.hasOwn(checks, type)) return false;
  return checks[type as Type](value);
}

/**
 * Whether a decoded value is a relay target, the first frame of a requester.
 */
export function isRelayTarget(value: unknown): value is RelayTarget {
  if (typeof value !== 'object' || value === null) return false;
  const {group, endpoint} = value as Partial<RelayTarget>;
  return typeof group === 'string' && typeof endpoint === 'string';
}

/**
 * An origin as it is sent: account, priorities of the route and the account, time
 * left until objective and deadline. Every statement carries one, and bytes between
 * data centres are expensive, so it has no field names.
 */
type PackedOrigin = readonly [string, number, number, number, number];

/** A request as it is sent. */
type PackedRequest = Readonly<Record<string, unknown>> & {
  readonly from?: PackedOrigin;
};

/** The form in which a request is sent. */
export function packRequest(req: RelayRequest): PackedRequest {
  if (req.type === 'openAndRun') {
    const {begin, statement} = req;
    const bare: {origin?: RequestOrigin | undefined} = {...statement};
    delete bare.origin;
    return {...req, begin: packRequest(begin), statement: bare};
  }
  if (!('origin' in req) || !req.origin) return {...req};
  const {origin, ...rest} = req;
  const {account, priority, accountPriority, objectiveMs, deadlineMs} = origin;
  return {
    ...rest,
    from: [account, priority, accountPriority, objectiveMs, deadlineMs],
  };
}

/** The request that was sent; its origin is undefined unless it is valid. */
export function unpackRequest(sent: RelayRequest): RelayRequest {
  if (sent.type === 'openAndRun') {
    const begin = unpackRequest(sent.begin) as BeginRequest;
    const statement = {...sent.statement, origin: begin.origin};
    return {...sent, begin, statement};
  }
  const {from, ...rest} = sent as EndpointRequest & {readonly from?: unknown};
  const origin = readOrigin(from);
  return origin ? ({...rest, origin} as EndpointRequest) : rest;
}

function readOrigin(from: unknown): RequestOrigin | undefined {
  if (!Array.isArray(from)) return undefined;
  const [account, ...numbers] = from as readonly unknown[];
  if (typeof account !== 'string' || numbers.length !== 4) return undefined;
  if (!numbers.every(n => typeof n === 'number' && n >= 0)) return undefined;
  const [priority, accountPriority, objectiveMs, deadlineMs] =
    numbers as readonly number[];
  return {
    account,
    priority: priority!,
    accountPriority: accountPriority!,
    objectiveMs: objectiveMs!,
    deadlineMs: deadlineMs!,
  };
}

/** Whether a decoded value is a request. */
export function isRequest(value: unknown): value is RelayRequest {
  return isOneOf(value, REQUEST_CHECKS);
}

/** Whether a decoded value requests an observation. */
export function isObservationRequest(
  value: unknown,
): value is ObservationRequest {
  return isOneOf(value, OBSERVATION_REQUEST_CHECKS);
}

/** Whether a decoded value is a message from a relay. */
export function isRelayMessage(value: unknown): value is RelayMessage {
  return isOneOf(value, MESSAGE_CHECKS);
}
