/**
 * A connection to an endpoint that sessions share. It tracks the session
 * variables and prepared statements on the connection, and adjusts them to a
 * session before the session's statement is sent.
 */
import {
  type Access,
  type Answer,
  type EndpointConnection,
  type EndpointRequest,
} from '@quetzalreel/requests';

/** A statement that a session has prepared. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
}

/** The session variables that statements of a session depend on. */
export interface SessionSettings {
  /** Variables in the order in which they were set. */
  readonly values: ReadonlyMap<string, string>;
  /** Equal for sessions with the same variables and values. */
  readonly key: string;
}

/** The settings of a session without variables. */
export const NO_SETTINGS: SessionSettings = {values: new Map(), key: ''};

/** The settings after setting one variable. */
export function withValue(
  settings: SessionSettings,
  name: string,
  value: string,
): SessionSettings {
  const values = new Map(settings.values);
  values.set(name, value);
  const names = [...values.keys()].sort();
  // Quoted, as names and values may contain any character.
  const key = JSON.stringify(names.map(item => [item, values.get(item)]));
  return {values, key};
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
    },
    statementName({access, shape}) {
      const what = `${access} ${shape}`;
      const known = names.get(what);
      if (known) return known;
      const name = `q${++lastName}`;
      sendSetup({type: 'prepare', name, access, shape});
      names.set(what, name);
      return name;
    },
    send: req => connection.send(req),
  };
}
