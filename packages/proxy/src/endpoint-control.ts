/** Requests that ask an endpoint for its status or make it a replica. */
import {type Clock, messageOf} from '@quetzalreel/common';
import {comparePositions, type Position} from '@quetzalreel/position';
import type {Answer, EndpointStatus} from '@quetzalreel/requests';
import {TIMES} from './defaults.js';
import type {ConnectionLease, GroupRuntime} from './group-types.js';
import type {Log} from './log.js';
import {ANY_ENDPOINT} from './placement.js';
import {sendWithTimeout} from './run-request.js';

/** Dependencies of endpoint control. */
export interface EndpointControlContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly readStatus: (answer: Answer) => EndpointStatus | undefined;
}

/** The state of an endpoint by its own account. */
export interface ReportedState {
  /** The end of the log that it has received. */
  readonly received: Position;
  /** Undefined if it was too busy to say. */
  readonly isPrimary: boolean | undefined;
}

/** Controls the endpoints of one group. */
export interface EndpointControl {
  /** Undefined if the endpoint did not answer. */
  requestState(endpoint: string): Promise<ReportedState | undefined>;
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
    log.warn({event: 'statusUnreadable', endpoint, rows, error});
    return undefined;
  }

  /** Takes a connection without a place in the queue of statements. */
  async function pollForLease(
    endpoint: string,
    until: number,
  ): Promise<ConnectionLease | undefined> {
    while (clock.now() < until) {
      const lease = group.acquireForControl(endpoint);
      if (lease) return lease;
      await clock.sleep(TIMES.receivePollMs);
    }
    return undefined;
  }

  async function leaseForStatus(
    endpoint: string,
    deadline: number,
  ): Promise<ConnectionLease | undefined> {
    // The queue has no statements for an endpoint that leaves.
    if (group.links.get(endpoint)?.listed.leaving)
      return pollForLease(endpoint, deadline);
    return group.acquire({
      primaryOnly: false,
      need: () => ({...ANY_ENDPOINT, only: endpoint}),
      priority: 0,
      account: undefined,
      accountPriority: 0,
      settingsKey: '',
      objectiveAt: deadline,
      deadline,
      hasDisconnected: () => false,
    });
  }

  async function requestState(
    endpoint: string,
  ): Promise<ReportedState | undefined> {
    const deadline = clock.now() + TIMES.statusTimeoutMs;
    const lease = await leaseForStatus(endpoint, deadline);
    if (!lease) return undefined;
    const {facts} = lease.link;
    const answer = await send(lease, {type: 'status'}, TIMES.statusTimeoutMs);
    if (!answer) return undefined;
    const status = parse(endpoint, answer);
    if (status) return status;
    const {position} = facts;
    return position && {received: position, isPrimary: undefined};
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
    requestState,
    async stepDown(endpoint) {
      let term = nextTerm();
      const until = clock.now() + TIMES.stepDownTimeoutMs;
      for (;;) {
        const lease = await pollForLease(endpoint, until);
        if (!lease) return undefined;
        const req = {type: 'stepDown', term} as const;
        const answer = await send(lease, req, until - clock.now());
        const status = answer && parse(endpoint, answer);
        log.info({event: 'stepDownSent', endpoint, term, status});
        if (!status) continue;
        if (!status.isPrimary) return status.received;
        // A new primary without commits has a term that no position shows.
        term = Math.max(status.term, status.termHeld) + 1;
      }
    },
    async waitUntilReceived(endpoint, end) {
      const until = clock.now() + TIMES.receiveLastCommitMs;
      let received: Position | undefined;
      while (clock.now() < until) {
        received = (await requestState(endpoint))?.received;
        if (received && comparePositions(received, end) >= 0) return true;
        await clock.sleep(TIMES.receivePollMs);
      }
      log.warn({event: 'lastCommitsMissing', endpoint, end, received});
      return false;
    },
  };
}
