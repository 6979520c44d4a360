/** Requests that ask an endpoint for its status or make it a replica. */
import {type Clock, messageOf} from '@quetzalreel/common';
import {comparePositions, type Position} from '@quetzalreel/position';
import {Told} from '@quetzalreel/failover';
import {
  type Answer,
  type EndpointStatus,
  ErrorCode,
} from '@quetzalreel/requests';
import {TIMES} from './defaults.js';
import type {ConnectionLease, GroupRuntime} from './group-types.js';
import type {Log} from './log.js';
import {sendWithTimeout} from './run-request.js';

/** Dependencies of endpoint control. */
export interface EndpointControlContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly readStatus: (answer: Answer) => EndpointStatus | undefined;
}

/** What an endpoint answered to a request for its status. */
export type StatusReport =
  | {
      readonly type: typeof Told.Status;
      /** The end of the log that it has received. */
      readonly received: Position;
      readonly isPrimary: boolean;
    }
  | {
      readonly type: typeof Told.Busy;
      /** The end of what it is known to have applied. */
      readonly applied: Position | undefined;
    };

/** Controls the endpoints of one group. */
export interface EndpointControl {
  /**
   * Asks for the status, and again for a bounded time if the endpoint is busy and
   * `repeats`. Resolves to undefined if it did not answer.
   */
  requestStatus(
    endpoint: string,
    repeats: boolean,
  ): Promise<StatusReport | undefined>;
  /**
   * Makes the endpoint a replica; resolves to the end of its log, or undefined
   * if it did not confirm.
   */
  stepDown(endpoint: string): Promise<Position | undefined>;
  /**
   * Waits for a bounded time until the endpoint has received its log to `end`;
   * resolves to whether it has.
   */
  waitUntilReceived(endpoint: string, end: Position): Promise<boolean>;
}

type ControlRequest =
  | {readonly type: 'status'}
  | {readonly type: 'stepDown'; readonly term: number};

/** Creates the control of a group's endpoints. */
export function endpointControl(
  group: GroupRuntime,
  {clock, log, readStatus}: EndpointControlContext,
): EndpointControl {
  /** Sends a request and frees the lease; undefined if there is no answer. */
  async function send(
    lease: ConnectionLease,
    req: ControlRequest,
    timeoutMs: number,
  ): Promise<Answer | undefined> {
    const endpoint = lease.link.listed.id;
    try {
      const answer = await sendWithTimeout(clock, lease, req, timeoutMs);
      lease.release(true);
      return answer;
    } catch (err) {
      lease.release(false);
      const why = messageOf(err);
      log.info({event: 'statusLost', endpoint, request: req.type, why});
      return undefined;
    }
  }

  function parse(endpoint: string, answer: Answer): EndpointStatus | undefined {
    const status = readStatus(answer);
    if (status) return status;
    const {rows, error} = answer;
    if (error?.code === ErrorCode.Busy) return undefined;
    log.warn({event: 'statusUnreadable', endpoint, rows, error});
    return undefined;
  }

  /** Sends a request on a connection of its own; undefined without an answer. */
  async function ask(
    endpoint: string,
    req: ControlRequest,
    until: number,
  ): Promise<Answer | undefined> {
    const lease = await group.acquireForControl(endpoint, until);
    return lease && send(lease, req, Math.max(1, until - clock.now()));
  }

  async function requestStatus(
    endpoint: string,
    repeats: boolean,
  ): Promise<StatusReport | undefined> {
    const until = clock.now() + TIMES.statusTimeoutMs;
    let report: StatusReport | undefined;
    while (clock.now() < until) {
      const answer = await ask(endpoint, {type: 'status'}, until);
      if (!answer) return report;
      const status = parse(endpoint, answer);
      if (status) return {type: Told.Status, ...status};
      const applied = group.links.get(endpoint)?.facts.position;
      report = {type: Told.Busy, applied};
      if (!repeats) return report;
      await clock.sleep(TIMES.receivePollMs);
    }
    return report;
  }

  /** A term above all that are known in the group. */
  function nextTerm(): number {
    let term = 0;
    for (const {facts} of group.links.values()) {
      term = Math.max(term, facts.position?.term ?? 0);
    }
    return term + 1;
  }

  return {
    requestStatus,
    async stepDown(endpoint) {
      let term = nextTerm();
      const until = clock.now() + TIMES.stepDownTimeoutMs;
      while (clock.now() < until) {
        const req = {type: 'stepDown', term} as const;
        const answer = await ask(endpoint, req, until);
        const status = answer && parse(endpoint, answer);
        log.info({event: 'stepDownSent', endpoint, term, status});
        if (status && !status.isPrimary) return status.received;
        // A new primary without commits has a term that no position shows.
        if (status) term = Math.max(status.term, status.termHeld) + 1;
        else await clock.sleep(TIMES.receivePollMs);
      }
      return undefined;
    },
    async waitUntilReceived(endpoint, end) {
      const until = clock.now() + TIMES.receiveLastCommitMs;
      let received: Position | undefined;
      while (clock.now() < until) {
        const report = await requestStatus(endpoint, true);
        if (report?.type === Told.Status) received = report.received;
        if (received && comparePositions(received, end) >= 0) return true;
        await clock.sleep(TIMES.receivePollMs);
      }
      log.warn({event: 'lastCommitsMissing', endpoint, end, received});
      return false;
    },
  };
}
