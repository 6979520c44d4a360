/**
 * A connection to an endpoint that sessions share. It tracks the session
 * variables and prepared statements on the connection, and adjusts them to a
 * session before the session's statement is sent.
 */
import {createHash} from 'node:crypto';
import {
  type Access,
  type Answer,
  type EndpointConnection,
  ENTRY_BYTES,
  type EndpointRequest,
} from '@quetzalreel/requests';

/** A statement that a session has prepared. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
}

/** Memory that a prepared statement takes, in bytes. */
export function sizeOfPrepared(
  name: string,
  {shape}: PreparedStatement,
): number {
  return name.length + shape.length + ENTRY_BYTES;
}

/** A connection on which more is set and prepared is cleared when it is released.
 * The endpoint keeps the same, and connections outlive the sessions that use
 * them. */
const MAX_KEPT_BYTES = 256 * 1024;

/** The session variables that statements of a session depend on. */
export interface SessionSettings {
  /** Variables in the order in which they were set. */
  readonly values: ReadonlyMap<string, string>;
  /** Digests of the values, by the same names. */
  readonly digests: ReadonlyMap<string, string>;
  /** A digest, equal for sessions with the same variables and values. */
  readonly key: string;
  /** Memory that the variables take, in bytes. */
  readonly bytes: number;
}

/** The settings of a session without variables. */
export const NO_SETTINGS: SessionSettings = {
  values: new Map(),
  digests: new Map(),
  key: '',
  bytes: 0,
};

function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('base64');
}

function sizeOfValue(name: string, value: string): number {
  return name.length + value.length + ENTRY_BYTES;
}

/** The settings after setting one variable. */
export function withValue(
  settings: SessionSettings,
  name: string,
  value: string,
): SessionSettings {
  const before = settings.values.get(name);
  const values = new Map(settings.values);
  values.set(name, value);
  const digests = new Map(settings.digests);
  digests.set(name, digestOf(value));
  const names = [...values.keys()].sort();
  // Quoted, as names may contain any character.
  const items = JSON.stringify(names.map(item => [item, digests.get(item)]));
  const freed = before === undefined ? 0 : sizeOfValue(name, before);
  const bytes = settings.bytes + sizeOfValue(name, value) - freed;
  return {values, digests, key: digestOf(items), bytes};
}

/** A shared connection. */
export interface PooledConnection {
  readonly connection: EndpointConnection;
  readonly endpoint: string;
  /** Key of the variables that are set on the connection. */
  readonly settingsKey: string;
  /** When it was last released, in monotonic milliseconds. */
  idleSince: number;
  /**
   * Sends the requests that change its variables to `settings`, without waiting
   * for the answers.
   */
  applySettings(settings: SessionSettings): void;
  /**
   * The name of `prepared` on this connection; prepares the statement if
   * necessary.
   */
  statementName(prepared: PreparedStatement): string;
  /** Clears the connection if too much is set and prepared on it; outside of a
   * transaction only. */
  trim(): void;
  /**
   * Whether the connection is open and every request sent by `applySettings`
   * and `statementName` has succeeded.
   */
  readonly isReusable: boolean;
  send(req: EndpointRequest): Promise<Answer>;
}

/** Wraps `connection` for sharing. */
export function pooledConnection(
  connection: EndpointConnection,
  now: number,
): PooledConnection {
  let values = new Map<string, string>();
  let key = '';
  let isHealthy = true;
  /** Statement names on this connection, by access and statement. */
  const names = new Map<string, string>();
  let lastName = 0;
  let valueBytes = 0;
  let preparedBytes = 0;

  /** Sends a request whose failure makes the connection unusable. */
  function sendSetup(req: EndpointRequest): void {
    connection.send(req).then(
      answer => {
        if (answer.error) markUnusable();
      },
      // The sender of the statement after it logs the cause.
      () => markUnusable(),
    );
  }

  function markUnusable(): void {
    isHealthy = false;
  }

  function clear(): void {
    sendSetup({type: 'discard'});
    values = new Map();
    names.clear();
    valueBytes = 0;
    preparedBytes = 0;
  }

  return {
    connection,
    endpoint: connection.endpoint,
    idleSince: now,
    get settingsKey() {
      return key;
    },
    get isReusable() {
      return isHealthy && connection.isOpen;
    },
    applySettings(settings) {
      if (settings.key === key) return;
      for (const name of values.keys()) {
        if (settings.values.has(name)) continue;
        clear();
        break;
      }
      for (const [name, value] of settings.values) {
        if (values.get(name) === value) continue;
        sendSetup({type: 'set', name, value});
        values.set(name, value);
      }
      key = settings.key;
      valueBytes = settings.bytes;
    },
    trim() {
      if (valueBytes + preparedBytes <= MAX_KEPT_BYTES) return;
      clear();
      key = NO_SETTINGS.key;
    },
    statementName(prepared) {
      const {access, shape} = prepared;
      const what = `${access} ${shape}`;
      const known = names.get(what);
      if (known) return known;
      const name = `q${++lastName}`;
      sendSetup({type: 'prepare', name, access, shape});
      names.set(what, name);
      preparedBytes += sizeOfPrepared(name, prepared);
      return name;
    },
    send: req => connection.send(req),
  };
}
