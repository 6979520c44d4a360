/** The messages between an instance and a peer's relay. */
import type {Answer, EndpointRequest, PaceReport} from '@quetzalreel/requests';
import type {Position} from '@quetzalreel/position';

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

/** A message from a relay to a requester. */
export type RelayMessage =
  /** The target is accepted; requests may follow. */
  | {readonly type: 'open'}
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

const REQUEST_TYPES: ReadonlySet<string> = new Set<EndpointRequest['type']>([
  'forward',
  'execute',
  'begin',
  'rollback',
  'set',
  'prepare',
  'discard',
  'status',
  'stepDown',
]);

const OBSERVATION_REQUEST_TYPES: ReadonlySet<string> = new Set<
  ObservationRequest['type']
>(['sign']);

const MESSAGE_TYPES: ReadonlySet<string> = new Set<RelayMessage['type']>([
  'open',
  'rows',
  'answer',
  'sign',
  'lost',
  'stopping',
]);

function hasType(value: unknown, types: ReadonlySet<string>): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const {type} = value as {type?: unknown};
  return typeof type === 'string' && types.has(type);
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
 * Whether a decoded value is a request. Only its type is checked: all instances
 * run the same version, so the other fields match.
 */
export function isRequest(value: unknown): value is EndpointRequest {
  return hasType(value, REQUEST_TYPES);
}

/** Whether a decoded value requests an observation. */
export function isObservationRequest(
  value: unknown,
): value is ObservationRequest {
  return hasType(value, OBSERVATION_REQUEST_TYPES);
}

/** Whether a decoded value is a message from a relay. */
export function isRelayMessage(value: unknown): value is RelayMessage {
  return hasType(value, MESSAGE_TYPES);
}
