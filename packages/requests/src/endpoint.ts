/** Connections to endpoints, behind abstract classes that protocols fill in. */
import {TypedError, type Disposable} from '@quetzalreel/common';
import type {Position} from '@quetzalreel/position';
import type {Answer} from './answer.js';
import type {Access} from './request.js';

/** Where an endpoint is, and which one is meant. */
export interface EndpointAddress {
  readonly id: string;
  /** The group that it belongs to. */
  readonly group: string;
  readonly host: string;
  readonly port: number;
}

/** A connection was refused, broke, or stayed silent. */
export class ConnectionLostError extends TypedError {
  constructor(
    endpoint: string,
    what: string,
    /** Whether the other side, or something before it, reset or refused it. */
    readonly wasReset: boolean,
    cause?: unknown,
  ) {
    super(
      'ConnectionLostError',
      `the connection to endpoint ${endpoint} is lost: ${what}`,
      'Whether the request ran is unknown; see the endpoint and the network between.',
      cause,
    );
  }
}

/** An endpoint refused a new connection with an answer of its own. */
export class ConnectionRefusedError extends TypedError {
  constructor(
    endpoint: string,
    readonly answer: Answer,
  ) {
    super(
      'ConnectionRefusedError',
      `endpoint ${endpoint} takes no connection: ${answer.error?.code ?? 'no reason given'}`,
      'Wait until others have closed theirs, or look for the endpoint anew.',
    );
  }
}

/** What is asked of an endpoint. */
export type EndpointRequest =
  /** A statement of a caller, passed on with its id and text. */
  | {
      readonly type: 'forward';
      readonly id: string;
      readonly text: string;
      /** The log must reach this, or the endpoint answers `behind`. */
      readonly atLeast?: Position | undefined;
    }
  /** Runs a prepared statement by its name on this connection. */
  | {
      readonly type: 'execute';
      readonly id: string;
      readonly name: string;
      readonly args: string;
      readonly atLeast?: Position | undefined;
    }
  | {
      readonly type: 'begin';
      readonly readOnly: boolean;
      readonly atLeast?: Position | undefined;
    }
  | {readonly type: 'rollback'}
  | {readonly type: 'set'; readonly name: string; readonly value: string}
  | {
      readonly type: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  /** Clears values and prepared statements. */
  | {readonly type: 'discard'}
  | {readonly type: 'status'};

/** One connection to an endpoint. Requests are answered in their order. */
export abstract class EndpointConnection implements Disposable {
  abstract readonly endpoint: string;
  /** Position that the endpoint told when the connection was opened. */
  abstract readonly openPosition: Position | undefined;
  abstract readonly isOpen: boolean;
  /** Sends a request behind those that are under way. Rejects with
   * ConnectionLostError. */
  abstract send(req: EndpointRequest): Promise<Answer>;
  /** Calls back once when the connection has ended. */
  abstract onClose(callback: () => void): void;
  /** Ends the connection; requests under way are rejected. */
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

/** What a status call tells. */
export interface EndpointStatus {
  readonly isPrimary: boolean;
  readonly term: number;
  /** What the endpoint has received, applied or not. */
  readonly received: Position;
  /** Newest term that it knows of. */
  readonly termHeld: number;
  readonly lagMs: number;
  /** Slots in use. */
  readonly busy: number;
  readonly connections: number;
}
