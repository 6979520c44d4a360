/**
 * Opens connections with the `pg` library, which handles login and TLS. For
 * statement connections, the library's socket is taken over afterwards to relay
 * messages unchanged.
 */
import type {Socket} from 'node:net';
import type {Disposable} from '@quetzalreel/common';
import pg from 'pg';
import {EndpointDownError} from './endpoint.js';

/** Address and login of an endpoint. */
export interface EndpointAddress {
  /** Name of the endpoint. */
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
  /** Database name to log in to. */
  readonly database: string;
  /** Value of `application_name`, shown in the endpoint's system views. */
  readonly applicationName: string;
  /** Timeout for connecting and logging in. */
  readonly connectTimeoutMs: number;
}

/** Members of `pg.Client` that its type declarations omit. */
interface ClientInternals {
  readonly connection: {readonly stream: Socket};
}

/** Connects and logs in a client of the library. Throws EndpointDownError. */
export async function connectClient(
  address: EndpointAddress,
): Promise<pg.Client> {
  const client = new pg.Client({
    host: address.host,
    port: address.port,
    user: address.user,
    password: address.password,
    database: address.database,
    application_name: address.applicationName,
    connectionTimeoutMillis: address.connectTimeoutMs,
  });
  client.on('error', () => {});
  try {
    await client.connect();
  } catch (err) {
    throw new EndpointDownError(
      address.name,
      'connecting or logging in failed',
      err,
    );
  }
  return client;
}

/**
 * Connects and logs in, and returns the idle socket without listeners. Throws
 * EndpointDownError.
 */
export async function connectSocket(address: EndpointAddress): Promise<Socket> {
  const client = await connectClient(address);
  const {stream} = (client as unknown as ClientInternals).connection;
  stream.removeAllListeners();
  return stream;
}

/** Destroys a socket when disposed. */
export function disposableSocket(socket: Socket): Disposable {
  return {dispose: () => socket.destroy()};
}
