/** Accepts callers, and opens a session for each that the configuration allows. */
import {type Clock, afterPendingReads} from '@quetzalreel/common';
import {
  type AcceptCaller,
  type OnLimit,
  type SessionLimits,
  SessionState,
  localError,
} from '@quetzalreel/requests';
import {accountFor} from './accounts.js';
import type {GroupRuntime} from './group-types.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import type {OperationQuotas} from './operation-quotas.js';
import type {RoutingTable} from './routes.js';
import {routeRefusal, sessionRefusal} from './session-refusal.js';
import {sessionRight} from './session-right.js';
import {type CallerSession, callerSession} from './session.js';
import type {Shutdown} from './shutdown.js';

/** Dependencies of accepting callers. */
export interface AcceptContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The open sessions; new ones are added, and removed when they end. */
  readonly sessions: Set<CallerSession>;
  /** The configuration in force; undefined for none. */
  readonly table: () => RoutingTable | undefined;
  readonly group: (name: string) => GroupRuntime | undefined;
  readonly admit: OperationQuotas['admit'];
  readonly limits: SessionLimits;
  readonly onLimit: OnLimit;
  /** Undefined while this instance does not stop. */
  readonly shutdown: () => Shutdown | undefined;
}

/** Creates the function that accepts a caller's session. */
export function acceptCallers(context: AcceptContext): AcceptCaller {
  const {clock, log, sessions, table, shutdown} = context;

  return ({database, keyDigest}, connection) => {
    const caller = {type: 'keyDigest', digest: keyDigest} as const;
    const account = accountFor(table(), database, caller);
    const refusal = sessionRefusal(database, {
      table: table(),
      account,
      takesSessions: shutdown()?.takesSessions ?? true,
    });
    if (refusal || !account) {
      const {code, text} = refusal ?? routeRefusal(database);
      log.info({event: 'sessionRefused', database, code, why: text});
      return localError(code, text, SessionState.Idle);
    }
    let lastRoute = table()!.routes.get(database)!;
    const session = callerSession({
      clock,
      log,
      metrics: context.metrics,
      database,
      connection,
      account,
      right() {
        lastRoute = table()!.routes.get(database) ?? lastRoute;
        const opened = {database, keyDigest, account, lastRoute};
        return sessionRight(table()!, opened);
      },
      afterPendingReads,
      route: () => table()?.routes.get(database),
      group: context.group,
      admit: context.admit,
      idleTransactionMs: () => table()!.idleTransactionMs,
      stopping: () => shutdown()?.endsSessions ?? false,
      answerBy: () => shutdown()?.answerBy ?? Infinity,
      limits: context.limits,
      onLimit: context.onLimit,
      onEnd: () => sessions.delete(session),
    });
    sessions.add(session);
    return session;
  };
}
