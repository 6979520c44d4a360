/** Control calls as SQL functions of the endpoint, over the `pg` library. */
import type {Position} from '@quetzalreel/position';
import {SqlState} from '@quetzalreel/wire';
import type pg from 'pg';
import {
  type Attempt,
  EndpointControl,
  EndpointDownError,
  type EndpointStatus,
  FencedError,
  type UpstreamAddress,
} from './endpoint.js';
import {type EndpointAddress, connectClient} from './pg-connect.js';

/** Limits of the control calls. */
export interface ControlLimits {
  /**
   * Timeout of a call, in addition to the wait that the call itself requests.
   */
  readonly callTimeoutMs: number;
}

class PgControl extends EndpointControl {
  private client: Promise<pg.Client> | undefined;
  private disposed = false;

  constructor(
    private readonly address: EndpointAddress,
    private readonly limits: ControlLimits,
  ) {
    super();
  }

  status(past?: Position, waitMs = 0): Promise<EndpointStatus> {
    if (!past) return this.call('quetzalreel_status', [], 0);
    const args = [past.term, past.offset, waitMs];
    return this.call('quetzalreel_status', args, waitMs);
  }

  fence(attempt: Attempt): Promise<EndpointStatus> {
    return this.call('quetzalreel_fence', [attempt.term, attempt.holder], 0);
  }

  promote(attempt: Attempt): Promise<EndpointStatus> {
    return this.call('quetzalreel_promote', [attempt.term, attempt.holder], 0);
  }

  follow(attempt: Attempt, upstream: UpstreamAddress): Promise<EndpointStatus> {
    const args = [attempt.term, attempt.holder, upstream.host, upstream.port];
    return this.call('quetzalreel_follow', args, 0);
  }

  dispose(): void {
    this.disposed = true;
    this.dropConnection();
  }

  private async call(
    name: string,
    args: ReadonlyArray<string | number>,
    waitMs: number,
  ): Promise<EndpointStatus> {
    const sql = `SELECT ${name}(${args.map(sqlLiteral).join(', ')})`;
    const answer = this.query(sql);
    const timer = timeout(
      this.address.name,
      this.limits.callTimeoutMs + waitMs,
    );
    try {
      return await Promise.race([answer, timer.expired]);
    } catch (err) {
      throw this.toControlError(err);
    } finally {
      timer.cancel();
      answer.catch(() => {});
    }
  }

  private async query(sql: string): Promise<EndpointStatus> {
    if (this.disposed) {
      throw new EndpointDownError(
        this.address.name,
        'the control connection is closed',
      );
    }
    const client = await this.connected();
    const res = await client.query({text: sql, rowMode: 'array'});
    return JSON.parse(String((res.rows as unknown[][])[0]![0]));
  }

  private connected(): Promise<pg.Client> {
    if (this.client) return this.client;
    const opening = connectClient(this.address);
    this.client = opening;
    opening.then(
      client => client.on('end', () => this.forget(opening)),
      () => this.forget(opening),
    );
    return opening;
  }

  private forget(client: Promise<pg.Client>): void {
    if (this.client === client) this.client = undefined;
  }

  private toControlError(err: unknown): Error {
    const code = (err as {code?: string}).code;
    if (code === SqlState.Fenced) {
      return new FencedError(this.address.name, (err as Error).message);
    }
    this.dropConnection();
    if (err instanceof EndpointDownError) return err;
    return new EndpointDownError(
      this.address.name,
      'a control call failed',
      err,
    );
  }

  /**
   * Destroys the connection after a failure or on disposal; the next call opens
   * a new one.
   */
  private dropConnection(): void {
    const client = this.client;
    this.client = undefined;
    client?.then(
      open => (open as unknown as ClientInternals).connection.stream.destroy(),
      () => {},
    );
  }
}

interface ClientInternals {
  readonly connection: {readonly stream: {destroy(): void}};
}

function sqlLiteral(value: string | number): string {
  if (typeof value === 'number') return String(value);
  return `'${value.replace(/'/g, "''")}'`;
}

function timeoutError(endpoint: string, delayMs: number): EndpointDownError {
  const what = `no response for ${delayMs} ms`;
  return new EndpointDownError(endpoint, what, undefined, true);
}

function timeout(endpoint: string, delayMs: number) {
  let timer: NodeJS.Timeout;
  const expired = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(timeoutError(endpoint, delayMs)), delayMs);
  });
  return {expired, cancel: () => clearTimeout(timer)};
}

/** Control calls on the endpoint at `address`. */
export function pgControl(
  address: EndpointAddress,
  limits: ControlLimits,
): EndpointControl {
  return new PgControl(address, limits);
}
