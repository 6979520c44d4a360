/**
 * Opens a connection with the `pg` library, which does login and TLS, and then
 * takes over its socket to relay messages byte for byte.
 */
import type {Socket} from 'node:net';
import type {Disposable} from '@quetzalreel/common';
import pg from 'pg';
import {EndpointDownError} from './endpoint.js';

/** Where an endpoint is and how to log in there. */
export interface EndpointAddress {
  /** Name of the endpoint. */
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
  /** Database name to log in to. */
  readonly database: string;
  /** Name by which the endpoint knows this side, in its own views. */
  readonly applicationName: string;
  /** Longest time for connecting and logging in. */
  readonly connectTimeoutMs: number;
}

/** The members of `pg.Client` that its type declarations leave out. */
interface ClientInternals {
  readonly connection: {readonly stream: Socket};
}

/** A logged-in client of the library. Throws EndpointDownError. */
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
    throw new EndpointDownError(address.name, 'login failed', err);
  }
  return client;
}

/** A logged-in socket with nothing on it. Throws EndpointDownError. */
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
