/**
 * Logs in a client with the `pg-gateway` library, which reads the startup
 * message, upgrades to TLS and asks for the password. After that the socket is
 * the caller's of this module; the library's proxying is not used.
 */
import type {Socket} from 'node:net';
import {SqlState, errorResponse, parameterStatus} from '@quetzalreel/wire';
import {PostgresConnection, type TlsOptions} from 'pg-gateway';

/** What a login needs. */
export interface LoginOptions {
  /** Checks a password; undefined lets everyone in. */
  readonly verify?: (user: string, password: string) => Promise<boolean>;
  /** Called with the startup parameters before the password is asked for. */
  readonly onStartup?: (
    parameters: Readonly<Record<string, string>>,
  ) => Promise<LoginRefusal | undefined>;
  /** Certificate and key, read anew for each login; undefined means no TLS. */
  readonly tls?: () => TlsOptions;
  /** Longest time from the connection to the end of the login. */
  readonly timeoutMs: number;
  /** Parameters told after login. */
  readonly parameters: Readonly<Record<string, string>>;
}

/** Why a login is refused before a password is asked for. */
export interface LoginRefusal {
  /** SQLSTATE. */
  readonly code: string;
  readonly message: string;
}

/** A client that has logged in. */
export interface LoggedInClient {
  readonly socket: Socket;
  readonly user: string;
  /** Database named at login; the user's name when none was. */
  readonly database: string;
  readonly parameters: Readonly<Record<string, string>>;
  /** Bytes that came before the client was handed over, to be read first. */
  readonly early: readonly Buffer[];
}

/** Most bytes that a client may send before it has logged in. */
const MAX_LOGIN_BYTES = 16 * 1024;

/**
 * Logs in the client on `socket`. Undefined when the client was refused, left,
 * sent too much or took too long; the socket is closed then.
 */
export function login(
  socket: Socket,
  options: LoginOptions,
): Promise<LoggedInClient | undefined> {
  return new Promise(resolve => {
    const early: Buffer[] = [];
    let authenticated = false;
    let received = 0;
    const refuse = () => {
      socket.destroy();
      finish(undefined);
    };
    const count = (chunk: Buffer) => {
      if (authenticated) return;
      received += chunk.length;
      if (received > MAX_LOGIN_BYTES) refuse();
    };
    const timer = setTimeout(refuse, options.timeoutMs);
    const finish = (client: LoggedInClient | undefined) => {
      clearTimeout(timer);
      socket.off('data', count);
      socket.off('close', onClose);
      resolve(client);
    };
    const onClose = () => finish(undefined);
    socket.on('error', () => {});
    socket.on('close', onClose);
    socket.on('data', count);
    const connection: PostgresConnection = new PostgresConnection(socket, {
      authMode: options.verify ? 'cleartextPassword' : 'none',
      serverVersion: '15.0',
      ...(options.tls ? {tls: options.tls} : {}),
      onStartup: state => refuseAtStartup(connection, options, state),
      validateCredentials: credentials =>
        'password' in credentials && options.verify
          ? options.verify(credentials.user, credentials.password)
          : false,
      onMessage: data => {
        if (authenticated) early.push(Buffer.from(data));
        return authenticated;
      },
      onAuthenticated: state => {
        authenticated = true;
        const parameters = state.clientInfo!.parameters;
        const open = connection.detach();
        for (const [name, value] of Object.entries(options.parameters)) {
          open.write(parameterStatus(name, value));
        }
        const database = parameters['database'] ?? parameters.user;
        const user = parameters.user;
        // The library resumes the socket after this call returns, so the
        // client is handed over on the next turn; what arrives until then is
        // kept.
        const keep = (chunk: Buffer) => early.push(chunk);
        open.on('data', keep);
        setImmediate(() => {
          open.off('data', keep);
          finish({socket: open, user, database, parameters, early});
        });
      },
    });
  });
}

async function refuseAtStartup(
  connection: PostgresConnection,
  options: LoginOptions,
  state: {clientInfo?: {parameters: Record<string, string>}},
): Promise<boolean> {
  const refusal = await options.onStartup?.(state.clientInfo!.parameters);
  if (!refusal) return false;
  const fields = {severity: 'FATAL', ...refusal} as const;
  connection.socket.end(errorResponse(fields));
  return true;
}

/** Refuses a connection before login, for instance while stopping. */
export function refuseConnection(socket: Socket, message: string): void {
  socket.on('error', () => {});
  const code = SqlState.TooManyConnections;
  socket.end(errorResponse({severity: 'FATAL', code, message}));
}
