/** Connection pool of one endpoint: runs the state machine of `pool-state`. */
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

/** Pool of connections to one endpoint. */
export interface ConnectionPool extends Disposable {
  /**
   * Takes a usable connection from the pool. Throws EndpointDownError when none
   * is available by `deadline`, in monotonic milliseconds, or within `maxWaitMs`.
   */
  acquire(isWrite: boolean, deadline: number): Promise<EndpointConnection>;
  /** Returns a connection to the pool; closes it if `reusable` is false. */
  release(connection: EndpointConnection, reusable: boolean): void;
  /**
   * Reports that a request got no response from the endpoint. Idle connections
   * are then checked before they are used again.
   */
  markUnverified(): void;
  /**
   * Sets the share. Connections in use that exceed it are closed after they are
   * returned.
   */
  resize(size: number): void;
  /** Current state, for diagnostics. */
  readonly state: PoolState;
}

/** Time limits of a pool and of its own calls, in milliseconds. */
export interface PoolTimes extends PoolLimits {
  /** Interval between tick events. */
  readonly tickMs: number;
  /** Timeout of a check or a reset. */
  readonly checkTimeoutMs: number;
}

/** A Sync message, which an endpoint answers at once without any work. */
const SYNC = Buffer.from([0x53, 0, 0, 0, 4]);
const DISCARD_ALL = query('DISCARD ALL');

interface PendingRequest {
  resolve(connection: EndpointConnection): void;
  reject(err: EndpointDownError): void;
}

/** Creates a pool that keeps `size` connections open. */
export function connectionPool(
  driver: EndpointDriver,
  clock: Clock,
  times: PoolTimes,
  size: number,
): ConnectionPool {
  const connections = new Map<number, EndpointConnection>();
  const ids = new Map<EndpointConnection, number>();
  const pendingRequests = new Map<number, PendingRequest>();
  let state = initialPool(size, times);
  let lastId = 0;
  let lastError: unknown;
  let isDisposed = false;
  let tickTimer: Disposable | undefined;

  function dispatch(event: PoolEvent): void {
    if (isDisposed) return;
    const result = stepPool(state, event, clock.now());
    state = result.state;
    for (const effect of result.effects) execute(effect);
  }

  function execute(effect: PoolEffect): void {
    switch (effect.type) {
      case 'open':
        void open();
        return;
      case 'lend':
        lend(effect.req, effect.id);
        return;
      case 'fail':
        pendingRequests.get(effect.req)?.reject(noConnectionError());
        pendingRequests.delete(effect.req);
        return;
      case 'check':
        probe(effect.id, SYNC);
        return;
      case 'reset':
        probe(effect.id, DISCARD_ALL);
        return;
      case 'close':
        connections.get(effect.id)?.dispose();
        return;
    }
  }

  function noConnectionError(): EndpointDownError {
    return new EndpointDownError(driver.endpoint, 'no connection', lastError);
  }

  async function open(): Promise<void> {
    try {
      add(await driver.connect());
    } catch (err) {
      lastError = err;
      dispatch({type: 'notOpened'});
    }
  }

  function add(connection: EndpointConnection): void {
    if (isDisposed) {
      connection.dispose();
      return;
    }
    const id = ++lastId;
    connections.set(id, connection);
    ids.set(connection, id);
    connection.onClose(() => {
      connections.delete(id);
      ids.delete(connection);
      dispatch({type: 'closed', id});
    });
    dispatch({type: 'opened', id});
  }

  function lend(req: number, id: number): void {
    const pending = pendingRequests.get(req);
    pendingRequests.delete(req);
    pending?.resolve(connections.get(id)!);
  }

  /** Sends a check or a reset and reports whether it was answered in time. */
  function probe(id: number, request: Buffer): void {
    const connection = connections.get(id)!;
    const timeout = clock.after(times.checkTimeoutMs, () =>
      dispatch({type: 'checked', id, answered: false}),
    );
    connection.send(request, {
      frame(frame) {
        if (frame.type !== 'Z') return;
        timeout.dispose();
        connection.needsReset = false;
        dispatch({type: 'checked', id, answered: connection.idle});
      },
      broken: () => timeout.dispose(),
    });
  }

  function scheduleTick(): void {
    tickTimer = clock.after(times.tickMs, () => {
      dispatch({type: 'tick'});
      if (!isDisposed) scheduleTick();
    });
  }

  dispatch({type: 'tick'});
  scheduleTick();
  return {
    get state() {
      return state;
    },
    acquire(isWrite, deadline) {
      const id = ++lastId;
      const waitDeadline = Math.min(deadline, clock.now() + times.maxWaitMs);
      return new Promise((resolve, reject) => {
        if (isDisposed) {
          reject(noConnectionError());
          return;
        }
        pendingRequests.set(id, {resolve, reject});
        dispatch({type: 'wanted', req: {id, isWrite, deadline: waitDeadline}});
      });
    },
    release(connection, reusable) {
      const id = ids.get(connection);
      if (id === undefined || isDisposed) {
        connection.dispose();
        return;
      }
      const {idle: isIdle, needsReset, heardAt} = connection;
      const canBeReused = reusable && isIdle;
      const condition = !canBeReused
        ? 'broken'
        : needsReset
          ? 'state'
          : 'sound';
      dispatch({type: 'given', id, condition, lastReceivedAt: heardAt});
    },
    markUnverified: () => dispatch({type: 'suspected'}),
    resize: next => dispatch({type: 'resized', size: next}),
    dispose() {
      isDisposed = true;
      tickTimer?.dispose();
      for (const {reject} of pendingRequests.values())
        reject(noConnectionError());
      pendingRequests.clear();
      // Connections in use are closed when they are returned.
      for (const {id, status} of state.connections) {
        if (status !== 'lent') connections.get(id)?.dispose();
      }
    },
  };
}
