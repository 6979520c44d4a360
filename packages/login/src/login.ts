/**
 * Logs in a client with the `pg-gateway` library, which reads the startup
 * message, upgrades to TLS and asks for the password. After the login the socket
 * is handed to the code that called `login`; the library's proxying is not used.
 */
import type {Socket} from 'node:net';
import {SqlState, errorResponse, parameterStatus} from '@quetzalreel/wire';
import {PostgresConnection, type TlsOptions} from 'pg-gateway';

/** Options of a login. */
export interface LoginOptions {
  /** Checks a password. If undefined, clients log in without a password. */
  readonly verify?: (user: string, password: string) => Promise<boolean>;
  /**
   * Called with the startup parameters before the password is requested; returns
   * a refusal to reject the login.
   */
  readonly onStartup?: (
    parameters: Readonly<Record<string, string>>,
  ) => Promise<LoginRefusal | undefined>;
  /** Returns the certificate and key for a login. If undefined, TLS is disabled. */
  readonly tls?: () => TlsOptions;
  /** Timeout from the start of `login` to the end of the login. */
  readonly timeoutMs: number;
  /** Parameters sent to the client as ParameterStatus after the login. */
  readonly parameters: Readonly<Record<string, string>>;
}

/** Error for a login that is refused before the password is requested. */
export interface LoginRefusal {
  /** SQLSTATE. */
  readonly code: string;
  readonly message: string;
}

/** A client that has logged in. */
export interface LoggedInClient {
  readonly socket: Socket;
  readonly user: string;
  /** Database from the startup message; defaults to the user's name. */
  readonly database: string;
  readonly parameters: Readonly<Record<string, string>>;
  /**
   * Data that the client sent between its authentication and the result of
   * `login`; to be processed before data from the socket.
   */
  readonly earlyData: readonly Buffer[];
}

/**
 * Types of the messages that a client may send after its startup message:
 * password and Terminate. The library writes the text of a query to the output.
 */
const LOGIN_TYPES: ReadonlySet<unknown> = new Set([0x70, 0x58]);

/** Maximum number of bytes that a client may send before it is logged in. */
const MAX_LOGIN_BYTES = 16 * 1024;

/** Length of a message's length field, in bytes. */
const LENGTH_BYTES = 4;
/** Length of the shortest message before the login: its length and a request code. */
const MIN_STARTUP_BYTES = 8;

/**
 * Refuses startup messages that are too short: the library reads beyond their end and
 * writes the error to the output.
 */
class LoginConnection extends PostgresConnection {
  /** What was received of a message before the login starts. */
  private startup: Buffer = Buffer.alloc(0);

  override async handleData(data: Buffer): Promise<void> {
    if (!this.hasStarted && this.hasShortMessage(data)) {
      this.socket.destroy();
      return;
    }
    await super.handleData(data);
  }

  private hasShortMessage(data: Buffer): boolean {
    this.startup = Buffer.concat([this.startup, data]);
    while (this.startup.length >= LENGTH_BYTES) {
      const length = this.startup.readUInt32BE();
      if (length < MIN_STARTUP_BYTES) return true;
      if (this.startup.length < length) return false;
      this.startup = this.startup.subarray(length);
    }
    return false;
  }
}

/**
 * Logs in the client on `socket`. Returns undefined and closes the socket if the
 * client was refused, disconnected, sent more than MAX_LOGIN_BYTES or a message that
 * has no place in a login, or timed out.
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
    const countBytes = (chunk: Buffer) => {
      if (authenticated) return;
      received += chunk.length;
      if (received > MAX_LOGIN_BYTES) refuse();
    };
    const timer = setTimeout(refuse, options.timeoutMs);
    const finish = (client: LoggedInClient | undefined) => {
      clearTimeout(timer);
      socket.off('data', countBytes);
      socket.off('close', onClose);
      resolve(client);
    };
    const onClose = () => finish(undefined);
    socket.on('error', () => {});
    socket.on('close', onClose);
    socket.on('data', countBytes);
    const connection: PostgresConnection = new LoginConnection(socket, {
      authMode: options.verify ? 'cleartextPassword' : 'none',
      serverVersion: '15.0',
      ...(options.tls ? {tls: options.tls} : {}),
      onStartup: state => refuseAtStartup(connection, options, state),
      validateCredentials: credentials =>
        'password' in credentials && options.verify
          ? options.verify(credentials.user, credentials.password)
          : false,
      onMessage: (data, {hasStarted}) => {
        if (authenticated) {
          early.push(Buffer.from(data));
          return true;
        }
        if (!hasStarted || LOGIN_TYPES.has(data[0])) return false;
        refuse();
        return true;
      },
      onAuthenticated: state => {
        authenticated = true;
        const parameters = state.clientInfo!.parameters;
        const detached = connection.detach();
        for (const [name, value] of Object.entries(options.parameters)) {
          detached.write(parameterStatus(name, value));
        }
        const database = parameters['database'] ?? parameters.user;
        const user = parameters.user;
        // The library resumes the socket after this callback returns, so the
        // client is handed over in the next turn of the event loop. Data that
        // arrives before that is buffered.
        const bufferChunk = (chunk: Buffer) => early.push(chunk);
        detached.on('data', bufferChunk);
        setImmediate(() => {
          detached.off('data', bufferChunk);
          finish({
            socket: detached,
            user,
            database,
            parameters,
            earlyData: early,
          });
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

/** Refuses a connection before login, for instance during a shutdown. */
export function refuseConnection(socket: Socket, message: string): void {
  socket.on('error', () => {});
  const code = SqlState.TooManyConnections;
  socket.end(errorResponse({severity: 'FATAL', code, message}));
}
