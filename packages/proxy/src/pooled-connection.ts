/**
 * A connection to an endpoint as it is shared between sessions: it knows which
 * values are set and which statements are prepared on it, and brings them in
 * line with a session before the session's statement goes out.
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

/** What statements of a session depend on. */
export interface SessionSettings {
  /** Values in the order in which they were set. */
  readonly values: ReadonlyMap<string, string>;
  /** Equal for sessions with equal values. */
  readonly key: string;
}

/** The settings of a session that has set nothing. */
export const NO_SETTINGS: SessionSettings = {values: new Map(), key: ''};

/** The settings after one value was set. */
export function withValue(
  settings: SessionSettings,
  name: string,
  value: string,
): SessionSettings {
  const values = new Map(settings.values);
  values.set(name, value);
  const names = [...values.keys()].sort();
  const key = names.map(item => `${item}=${values.get(item)}`).join('\n');
  return {values, key};
}

/** One shared connection. */
export interface PooledConnection {
  readonly connection: EndpointConnection;
  readonly endpoint: string;
  /** Key of the values that are set on it. */
  readonly settingsKey: string;
  /** When it was given back last, monotonic milliseconds. */
  idleSince: number;
  /** Sends what makes its values those of `settings`, without waiting. */
  applySettings(settings: SessionSettings): void;
  /** The name under which `prepared` is known here; prepares it if need be. */
  statementName(prepared: PreparedStatement): string;
  /** Whether every request sent by `align` and `nameOf` has succeeded. */
  readonly isReusable: boolean;
  send(req: EndpointRequest): Promise<Answer>;
}

/** Shares `connection`. */
export function pooledConnection(
  connection: EndpointConnection,
  now: number,
): PooledConnection {
  let values = new Map<string, string>();
  let key = '';
  let isSound = true;
  /** Names on this connection by access and shape. */
  const names = new Map<string, string>();
  let lastName = 0;

  /** Sends a request whose failure makes the connection unusable. */
  function prepareFor(req: EndpointRequest): void {
    connection.send(req).then(
      answer => {
        if (answer.error) spoil();
      },
      // Whoever waits for the statement behind it logs why it was lost.
      () => spoil(),
    );
  }

  function spoil(): void {
    isSound = false;
  }

  function clear(): void {
    prepareFor({type: 'discard'});
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
      return isSound && connection.isOpen;
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
        prepareFor({type: 'set', name, value});
        values.set(name, value);
      }
      key = settings.key;
    },
    statementName({access, shape}) {
      const what = `${access} ${shape}`;
      const known = names.get(what);
      if (known) return known;
      const name = `q${++lastName}`;
      prepareFor({type: 'prepare', name, access, shape});
      names.set(what, name);
      return name;
    },
    send: req => connection.send(req),
  };
}
