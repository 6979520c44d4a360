/** What an instance and the relay of another one say to each other. */
import type {Answer, EndpointRequest} from '@quetzalreel/requests';
import type {Position} from '@quetzalreel/position';

/** Which endpoint is meant; the first frame of an asker. */
export interface RelayTarget {
  readonly group: string;
  readonly endpoint: string;
}

/** What a relaying instance knows of an endpoint, told without asking it. */
export interface EndpointObservation {
  /** The furthest that its log was seen; undefined for not at all. */
  readonly position: Position | undefined;
  /** How long ago it was heard of, in milliseconds. */
  readonly heardMsAgo: number;
  /** Since how long it owes an answer, in milliseconds; undefined when it
   * owes none. */
  readonly silentMs: number | undefined;
  /** Whether it refuses or resets connections. */
  readonly isRefusing: boolean;
}

/** Asks for a sign of the endpoint; it takes no connection to it. */
export interface ObservationRequest {
  readonly type: 'sign';
}

/** What a relay says. */
export type RelayMessage =
  /** The endpoint is served here; requests may follow. */
  | {readonly type: 'open'}
  /** The answer to the oldest request without one. */
  | {readonly type: 'answer'; readonly answer: Answer}
  /** The answer to the oldest question for a sign without one. */
  | {readonly type: 'sign'; readonly sign: EndpointObservation}
  /** The relay's connection to the endpoint is lost, with all requests. */
  | {
      readonly type: 'lost';
      readonly what: string;
      /** Whether the endpoint's side reset or refused the connection. */
      readonly wasReset: boolean;
    }
  /** The relaying instance stops: no new work, what is open may end. */
  | {readonly type: 'stopping'};

/** Largest frame, in bytes: a statement or an answer of a mebibyte, which is
 * the most that callers may send, and what is said about it. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;

const REQUEST_TYPES: ReadonlySet<string> = new Set<EndpointRequest['type']>([
  'forward',
  'execute',
  'begin',
  'rollback',
  'set',
  'prepare',
  'discard',
  'status',
]);

const SIGN_TYPES: ReadonlySet<string> = new Set<ObservationRequest['type']>([
  'sign',
]);

const MESSAGE_TYPES: ReadonlySet<string> = new Set<RelayMessage['type']>([
  'open',
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

/** Whether a decoded value is the first frame of an asker. */
export function isRelayTarget(value: unknown): value is RelayTarget {
  if (typeof value !== 'object' || value === null) return false;
  const {group, endpoint} = value as Partial<RelayTarget>;
  return typeof group === 'string' && typeof endpoint === 'string';
}

/** Whether a decoded value is a request; instances run the same version, so
 * its fields are those of the type. */
export function isRequest(value: unknown): value is EndpointRequest {
  return hasType(value, REQUEST_TYPES);
}

/** Whether a decoded value asks for a sign. */
export function isObservationRequest(
  value: unknown,
): value is ObservationRequest {
  return hasType(value, SIGN_TYPES);
}

/** Whether a decoded value is a message of a relay. */
export function isRelayMessage(value: unknown): value is RelayMessage {
  return hasType(value, MESSAGE_TYPES);
}
