/** Which connections to an endpoint a request may use. */

/** Which connections may be used. */
export const ConnectionWay = {
  Any: 'any',
  /** Without relay. */
  Direct: 'direct',
  /** Through the relay of another instance. */
  Relayed: 'relayed',
} as const;

/** One of the values of `ConnectionWay`. */
export type ConnectionWay = (typeof ConnectionWay)[keyof typeof ConnectionWay];

/** The requests that a connection is to serve. */
export interface ConnectionUse {
  readonly way: ConnectionWay;
  /**
   * The client account; undefined for requests of this instance itself, which
   * may use a connection of any account.
   */
  readonly account: string | undefined;
}

/** Requests of this instance itself. */
export const OWN_USE: ConnectionUse = {
  way: ConnectionWay.Any,
  account: undefined,
};
