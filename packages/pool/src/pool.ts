/** Carries out the decisions of `pool-state` over a driver. */
import type {Clock, Disposable} from '@quetzalreel/common';
import {
  type EndpointConnection,
  EndpointDownError,
  type EndpointDriver,
} from '@quetzalreel/endpoint';
import {query} from '@quetzalreel/wire';
import {
  type PoolEffect,
  type PoolEvent,
  type PoolLimits,
  type PoolState,
  initialPool,
  stepPool,
} from './pool-state.js';

/** Connections to one endpoint. */
export interface ConnectionPool extends Disposable {
  /**
   * A sound connection; waits for one until `until`, monotonic milliseconds.
   * Throws EndpointDownError.
   */
  take(isWrite: boolean, until: number): Promise<EndpointConnection>;
  /** Gives a connection back; with `reusable` false it is closed. */
  give(connection: EndpointConnection, reusable: boolean): void;
  /** Tells that a request got no answer from the endpoint. */
  suspect(): void;
  /** Sets the share; connections in use are closed as they come back. */
  resize(size: number): void;
  /** The state as it is now, for operators. */
  readonly state: PoolState;
}

/** Times of the pool's own calls, in milliseconds. */
export interface PoolTimes extends PoolLimits {
  /** Between two looks at the time. */
  readonly tickMs: number;
  /** Longest wait for the answer to a check or a reset. */
  readonly checkAnswerMs: number;
}

/** Sync: answered at once and without work by any endpoint. */
const SYNC = Buffer.from([0x53, 0, 0, 0, 4]);
const DISCARD = query('DISCARD ALL');

interface Taker {
  resolve(connection: EndpointConnection): void;
  reject(err: EndpointDownError): void;
}

/** A pool that keeps `size` connections open. */
export function connectionPool(
  driver: EndpointDriver,
  clock: Clock,
  times: PoolTimes,
  size: number,
): ConnectionPool {
  const connections = new Map<number, EndpointConnection>();
  const ids = new Map<EndpointConnection, number>();
  const takers = new Map<number, Taker>();
  let state = initialPool(size, times);
  let lastId = 0;
  let lastError: unknown;
  let disposed = false;
  let timer: Disposable | undefined;

  function send(event: PoolEvent): void {
    if (disposed) return;
    const result = stepPool(state, event, clock.now());
    state = result.state;
    for (const effect of result.effects) perform(effect);
  }

  function perform(effect: PoolEffect): void {
    switch (effect.type) {
      case 'open':
        void open();
        return;
      case 'lend':
        lend(effect.req, effect.id);
        return;
      case 'fail':
        takers.get(effect.req)?.reject(noConnection());
        takers.delete(effect.req);
        return;
      case 'check':
        probe(effect.id, SYNC);
        return;
      case 'reset':
        probe(effect.id, DISCARD);
        return;
      case 'close':
        connections.get(effect.id)?.dispose();
        return;
    }
  }

  function noConnection(): EndpointDownError {
    return new EndpointDownError(driver.endpoint, 'no connection', lastError);
  }

  async function open(): Promise<void> {
    try {
      add(await driver.connect());
    } catch (err) {
      lastError = err;
      send({type: 'notOpened'});
    }
  }

  function add(connection: EndpointConnection): void {
    if (disposed) {
      connection.dispose();
      return;
    }
    const id = ++lastId;
    connections.set(id, connection);
    ids.set(connection, id);
    connection.onClose(() => {
      connections.delete(id);
      ids.delete(connection);
      send({type: 'closed', id});
    });
    send({type: 'opened', id});
  }

  function lend(req: number, id: number): void {
    const taker = takers.get(req);
    takers.delete(req);
    taker?.resolve(connections.get(id)!);
  }

  /** Asks a connection for a sign of life with `request`. */
  function probe(id: number, request: Buffer): void {
    const connection = connections.get(id)!;
    const late = clock.after(times.checkAnswerMs, () =>
      send({type: 'checked', id, sound: false}),
    );
    connection.send(request, {
      frame(frame) {
        if (frame.type !== 'Z') return;
        late.dispose();
        connection.needsReset = false;
        send({type: 'checked', id, sound: connection.idle});
      },
      broken: () => late.dispose(),
    });
  }

  function tick(): void {
    timer = clock.after(times.tickMs, () => {
      send({type: 'tick'});
      if (!disposed) tick();
    });
  }

  send({type: 'tick'});
  tick();
  return {
    get state() {
      return state;
    },
    take(isWrite, until) {
      const id = ++lastId;
      const latest = Math.min(until, clock.now() + times.waitMs);
      return new Promise((resolve, reject) => {
        if (disposed) {
          reject(noConnection());
          return;
        }
        takers.set(id, {resolve, reject});
        send({type: 'wanted', req: {id, isWrite, until: latest}});
      });
    },
    give(connection, reusable) {
      const id = ids.get(connection);
      if (id === undefined || disposed) {
        connection.dispose();
        return;
      }
      const {idle: settled, needsReset, heardAt} = connection;
      const sound = reusable && settled;
      const left = !sound ? 'broken' : needsReset ? 'state' : 'sound';
      send({type: 'given', id, left, heardAt});
    },
    suspect: () => send({type: 'suspected'}),
    resize: next => send({type: 'resized', size: next}),
    dispose() {
      disposed = true;
      timer?.dispose();
      for (const {reject} of takers.values()) reject(noConnection());
      takers.clear();
      // Lent connections are closed when they are given back.
      for (const {id, use} of state.connections) {
        if (use !== 'lent') connections.get(id)?.dispose();
      }
    },
  };
}
