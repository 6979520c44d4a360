/**
 * What the daemon asks of one endpoint, behind abstract classes: control calls
 * about terms, and connections that carry callers' statements.
 */
import {type Disposable, TypedError} from '@quetzalreel/common';
import type {Position} from '@quetzalreel/position';
import type {Frame} from '@quetzalreel/wire';

/** What an endpoint is to its group. */
export const Role = {Primary: 'primary', Replica: 'replica'} as const;

/** One of the values of `Role`. */
export type Role = (typeof Role)[keyof typeof Role];

/** What an endpoint says of itself. */
export interface EndpointStatus {
  readonly role: Role;
  /** Term that it serves as primary, or follows as replica. */
  readonly term: number;
  /** Lowest term that it still accepts. */
  readonly promisedTerm: number;
  /** Holder of the attempt that it promised that term to. */
  readonly promisedTo: string;
  /** Position of the last record that it holds. */
  readonly last: Position;
  /** Milliseconds since a replica last heard its primary; null on a primary. */
  readonly upstreamSilenceMs: number | null;
  /** True while a replica's connections to its primary are refused. */
  readonly upstreamRefused?: boolean;
}

/** A change of primary as one instance attempts it. */
export interface Attempt {
  /** Term to promote at, above every term seen. */
  readonly term: number;
  /** Unique to this attempt, so that two never share a term. */
  readonly holder: string;
}

/** Where a replica finds its primary. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
}

/** An endpoint refused because it promised another attempt or term. */
export class FencedError extends TypedError {
  constructor(endpoint: string, what: string) {
    super(
      'FencedError',
      `${endpoint} refuses: ${what}`,
      'Read the statuses of the group again; another change of primary is ahead.',
    );
  }
}

/** An endpoint can't be reached, or the connection broke. */
export class EndpointDownError extends TypedError {
  /** True when it was silent, false when it refused or broke off. */
  readonly timedOut: boolean;
  /** SQLSTATE of its refusal; undefined when it gave none. */
  readonly code: string | undefined;

  constructor(endpoint: string, what: string, cause?: unknown, silent = false) {
    super(
      'EndpointDownError',
      `${endpoint} does not answer: ${what}`,
      'Check the endpoint and the network between it and this instance.',
      cause,
    );
    this.timedOut = silent;
    this.code = (cause as {code?: string} | undefined)?.code;
  }
}

/** Control calls on one endpoint. Each may fail with EndpointDownError. */
export abstract class EndpointControl implements Disposable {
  /**
   * Its status, at once; or, with `past`, as soon as it holds more than that
   * position, and after `waitMs` in any case.
   */
  abstract status(past?: Position, waitMs?: number): Promise<EndpointStatus>;

  /** Makes it refuse lower terms from now on. Throws FencedError. */
  abstract fence(attempt: Attempt): Promise<EndpointStatus>;

  /** Makes it the primary of a term that it promised. Throws FencedError. */
  abstract promote(attempt: Attempt): Promise<EndpointStatus>;

  /** Makes it follow the primary of a term. Throws FencedError. */
  abstract follow(
    attempt: Attempt,
    upstream: UpstreamAddress,
  ): Promise<EndpointStatus>;

  abstract dispose(): void;
}

/** Receives the frames of an answer, in order. */
export interface ResponseSink {
  /** One frame of the answer, ReadyForQuery last. */
  frame(frame: Frame): void;
  /** The connection ended before the answer did. */
  broken(err: EndpointDownError): void;
}

/** A connection that carries callers' statements, one request at a time. */
export abstract class EndpointConnection implements Disposable {
  /** Name of the endpoint. */
  abstract readonly endpoint: string;
  /** False once the connection has ended. */
  abstract readonly open: boolean;
  /** True while no request is on it and no transaction is open on it. */
  abstract readonly idle: boolean;
  /** When bytes last came from the endpoint, monotonic milliseconds. */
  abstract readonly heardAt: number;
  /** Set once a request may have left state behind in the session. */
  needsReset = false;
  /** Position after the last commit on this connection, if it told one. */
  abstract readonly commitPosition: Position | undefined;
  /** Sends a request; its answer goes to `sink` up to ReadyForQuery. */
  abstract send(request: Buffer, sink: ResponseSink): void;
  /** Calls `listener` when the connection ends, until disposed. */
  abstract onClose(listener: () => void): Disposable;
  abstract dispose(): void;
}

/** Opens connections to one endpoint. */
export abstract class EndpointDriver {
  /** Name of the endpoint. */
  abstract readonly endpoint: string;
  /** A control connection; it reconnects by itself. */
  abstract control(): EndpointControl;
  /** A connection for statements. Throws EndpointDownError. */
  abstract connect(): Promise<EndpointConnection>;
}
