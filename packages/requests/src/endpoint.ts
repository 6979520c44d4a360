/**
 * Abstract classes for connections to endpoints; each protocol implements them.
 */
import {TypedError, type Disposable} from '@quetzalreel/common';
import type {Position} from '@quetzalreel/position';
import type {Answer} from './answer.js';
import type {Access} from './request.js';

/** The identity and network address of an endpoint. */
export interface EndpointAddress {
  readonly id: string;
  /** The group that the endpoint belongs to. */
  readonly group: string;
  readonly host: string;
  readonly port: number;
  /**
   * The client account on whose behalf the connection runs statements; ''
   * without one.
   */
  readonly account: string;
}

/** On whose behalf a request runs, and how urgent it is. Relays act on it. */
export interface RequestOrigin {
  /** Name of the client account; '' without one. */
  readonly account: string;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** Priority of the client account; 0 is the highest. */
  readonly accountPriority: number;
  /** Time left until the route's objective when it was sent, in milliseconds. */
  readonly objectiveMs: number;
  /** Time left until the deadline when it was sent, in milliseconds. */
  readonly deadlineMs: number;
}

/** A connection was refused, broke, or timed out. */
export class ConnectionLostError extends TypedError {
  constructor(
    endpoint: string,
    what: string,
    /**
     * Whether the endpoint, or a network device on the path, reset or refused
     * it.
     */
    readonly wasReset: boolean,
    cause?: unknown,
  ) {
    super(
      'ConnectionLostError',
      `connection to endpoint ${endpoint} lost: ${what}`,
      'It is unknown whether the request ran; check the endpoint and the network path to it.',
      cause,
    );
  }
}

/** An endpoint rejected a new connection with an error answer. */
export class ConnectionRefusedError extends TypedError {
  constructor(
    endpoint: string,
    readonly answer: Answer,
  ) {
    super(
      'ConnectionRefusedError',
      `endpoint ${endpoint} rejected the connection: ${answer.error?.code ?? 'no reason given'}`,
      'Retry after other connections are closed, or look up the address of the endpoint again.',
    );
  }
}

/** A request to an endpoint. */
export type EndpointRequest =
  /** A caller's statement, forwarded with its id and text. */
  | {
      readonly type: 'forward';
      readonly id: string;
      readonly text: string;
      /** Minimum log position; an endpoint below it answers `behind`. */
      readonly atLeast?: Position | undefined;
      readonly origin?: RequestOrigin | undefined;
    }
  /** Runs a statement that was prepared on this connection, by name. */
  | {
      readonly type: 'execute';
      readonly id: string;
      readonly name: string;
      readonly args: string;
      readonly atLeast?: Position | undefined;
      readonly origin?: RequestOrigin | undefined;
    }
  | {
      readonly type: 'begin';
      readonly readOnly: boolean;
      readonly atLeast?: Position | undefined;
      readonly origin?: RequestOrigin | undefined;
    }
  | {readonly type: 'rollback'}
  | {readonly type: 'set'; readonly name: string; readonly value: string}
  | {
      readonly type: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  /** Clears session variables and prepared statements. */
  | {readonly type: 'discard'}
  | {readonly type: 'status'}
  /**
   * Makes a primary of a term below `term` a replica; answered like `status`.
   */
  | {readonly type: 'stepDown'; readonly term: number};

/** A request that opens a transaction. */
export type BeginRequest = Extract<EndpointRequest, {readonly type: 'begin'}>;

/** A request that runs a caller's statement. */
export type StatementRequest = Extract<
  EndpointRequest,
  {readonly type: 'forward' | 'execute'}
>;

/** One connection to an endpoint. Requests are answered in the order sent. */
export abstract class EndpointConnection implements Disposable {
  abstract readonly endpoint: string;
  /** Log position that the endpoint reported when the connection was opened. */
  abstract readonly openPosition: Position | undefined;
  abstract readonly isOpen: boolean;
  /**
   * Sends a request after the ones in flight. Rejects with ConnectionLostError.
   */
  abstract send(req: EndpointRequest): Promise<Answer>;
  /** Calls `callback` once when the connection has ended. */
  abstract onClose(callback: () => void): void;
  /** Closes the connection; requests in flight are rejected. */
  abstract dispose(): void;
}

/** Opens connections to endpoints. */
export abstract class EndpointDriver {
  /**
   * Opens a connection within `timeoutMs`. Rejects with ConnectionLostError or
   * ConnectionRefusedError.
   */
  abstract connect(
    address: EndpointAddress,
    timeoutMs: number,
  ): Promise<EndpointConnection>;
}

/** The answer to a status request. */
export interface EndpointStatus {
  readonly isPrimary: boolean;
  readonly term: number;
  /** Last log position received, whether applied yet or not. */
  readonly received: Position;
  /** Newest term known to the endpoint. */
  readonly termHeld: number;
  readonly lagMs: number;
  /** Number of statement slots in use. */
  readonly busy: number;
  readonly connections: number;
}
