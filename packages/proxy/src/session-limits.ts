/** Keeps what a session has set and prepared within the limits of a session. */
import {
  type Access,
  type Answer,
  type CallerConnection,
  CallerLimit,
  ErrorCode,
  KeptKind,
  type OnLimit,
  type SessionLimits,
  SessionState,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import {sizeOfPrepared, withValue} from './pooled-connection.js';
import type {SessionData} from './session-context.js';

/** Dependencies of `limitedSessionData`. */
export interface SessionLimitsContext {
  readonly data: SessionData;
  readonly limits: SessionLimits;
  readonly connection: Pick<CallerConnection, 'keep'>;
  readonly onLimit: OnLimit;
}

/** Changes the data of a session, within its limits. */
export interface LimitedSessionData {
  set(name: string, value: string, state: SessionState): Answer;
  prepare(
    name: string,
    access: Access,
    shape: string,
    state: SessionState,
  ): Answer;
  close(name: string, state: SessionState): Answer;
}

/** Creates the changes to `data`. */
export function limitedSessionData(
  context: SessionLimitsContext,
): LimitedSessionData {
  const {data, limits, connection} = context;

  function refuse(
    limit: CallerLimit,
    bytes: number,
    text: string,
    state: SessionState,
  ): Answer {
    context.onLimit(limit, bytes);
    const next = state === SessionState.Open ? SessionState.Failed : state;
    return localError(ErrorCode.TooLarge, text, next);
  }

  function keepPrepared(bytes: number): void {
    data.preparedBytes = bytes;
    connection.keep(KeptKind.Prepared, bytes);
  }

  function sizeOf(name: string): number {
    const known = data.prepared.get(name);
    return known ? sizeOfPrepared(name, known) : 0;
  }

  return {
    set(name, value, state) {
      const next = withValue(data.settings, name, value);
      const {values, valueBytes} = limits;
      if (next.values.size > values || next.bytes > valueBytes) {
        const text = `the limit of session values is ${values}, of ${valueBytes} bytes together`;
        return refuse(CallerLimit.Values, next.bytes, text, state);
      }
      data.settings = next;
      connection.keep(KeptKind.Values, next.bytes);
      return localAnswer(state);
    },
    prepare(name, access, shape, state) {
      const statement = {access, shape};
      const added = sizeOfPrepared(name, statement) - sizeOf(name);
      const bytes = data.preparedBytes + added;
      const count = data.prepared.size + (data.prepared.has(name) ? 0 : 1);
      const {prepared, preparedBytes} = limits;
      if (count > prepared || bytes > preparedBytes) {
        const text = `the limit of prepared statements is ${prepared}, of ${preparedBytes} bytes together; close some`;
        return refuse(CallerLimit.Prepared, bytes, text, state);
      }
      data.prepared.set(name, statement);
      keepPrepared(bytes);
      return localAnswer(state);
    },
    close(name, state) {
      keepPrepared(data.preparedBytes - sizeOf(name));
      data.prepared.delete(name);
      return localAnswer(state);
    },
  };
}
