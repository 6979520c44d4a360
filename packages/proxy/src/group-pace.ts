/**
 * Feeds the limits of a group's endpoints with what happens to statements, and
 * with starts and changes of primary.
 */
import type {Clock} from '@quetzalreel/common';
import {RelayLostError} from '@quetzalreel/relay';
import {
  type Answer,
  ConnectionLostError,
  ErrorCode,
} from '@quetzalreel/requests';
import {TIMES} from './defaults.js';
import type {EndpointLink} from './endpoint-link.js';
import {
  type EndedStatement,
  StatementKind,
  afterBusy,
  afterFailed,
  afterLost,
  afterPromotion,
  afterReport,
  afterRun,
  afterStart,
  afterTimeout,
} from './endpoint-pace.js';
import {failingShareAt} from './failing-share.js';

/** Dependencies of the limits of a group. */
export interface GroupPaceContext {
  readonly clock: Clock;
  readonly links: ReadonlyMap<string, EndpointLink>;
}

/** The limits of the endpoints of one group. */
export interface GroupPace {
  /** Records the answer to a statement. */
  noteAnswer(
    link: EndpointLink,
    answer: Answer,
    sentAt: number,
    onPrimary: boolean,
  ): void;
  /** Records that a statement has got no answer. */
  noteNoAnswer(
    link: EndpointLink,
    err: unknown,
    sentAt: number,
    onPrimary: boolean,
  ): void;
  /**
   * Records that an endpoint has started; `before` is its link until then, if
   * there was one.
   */
  noteStart(link: EndpointLink, before: EndpointLink | undefined): void;
  /** Records which endpoint is the primary now. */
  notePrimary(id: string | undefined): void;
  /** Lowest share of failing reads at the other endpoints of the group. */
  othersFailing(link: EndpointLink): number;
}

/**
 * Expected answer time of an endpoint that starts, as a multiple of its calm
 * one: it is cold, and all callers choose the fastest endpoint.
 */
const START_SLOWNESS = 2;

/** Creates the limits of a group. */
export function groupPace({clock, links}: GroupPaceContext): GroupPace {
  let lastPrimary: string | undefined;

  function othersFailing(link: EndpointLink): number {
    let least = Infinity;
    for (const other of links.values()) {
      if (other === link || other.facts.unansweredSince !== undefined) continue;
      const share = failingShareAt(other.facts.pace.failing, clock.now());
      least = Math.min(least, share);
    }
    // Without another endpoint to compare with, failing reads tell nothing.
    return least === Infinity ? 1 : least;
  }

  function ended(
    link: EndpointLink,
    sentAt: number,
    onPrimary: boolean,
  ): EndedStatement {
    const now = clock.now();
    return {
      kind: onPrimary ? StatementKind.PrimaryOnly : StatementKind.Read,
      tookMs: now - sentAt,
      othersFailing: othersFailing(link),
      now,
    };
  }

  return {
    noteAnswer(link, answer, sentAt, onPrimary) {
      const {facts, listed} = link;
      const statement = ended(link, sentAt, onPrimary);
      const code = answer.error?.code;
      if (!code) facts.pace = afterRun(facts.pace, listed.slots, statement);
      else if (code === ErrorCode.Busy)
        facts.pace = afterBusy(facts.pace, statement.now);
      else if (code === ErrorCode.Failed)
        facts.pace = afterFailed(facts.pace, statement);
      if (!answer.pace) return;
      facts.pace = afterReport(facts.pace, answer.pace, statement.now);
    },
    noteNoAnswer(link, err, sentAt, onPrimary) {
      const {facts} = link;
      if (err instanceof RelayLostError) return;
      const wasReset = err instanceof ConnectionLostError && err.wasReset;
      if (wasReset) {
        facts.pace = afterLost(facts.pace, clock.now());
        return;
      }
      const statement = ended(link, sentAt, onPrimary);
      facts.pace = afterTimeout(facts.pace, statement);
    },
    noteStart({listed, facts}, before) {
      const now = clock.now();
      const known = before ?? [...links.values()][0];
      facts.pace = afterStart(listed.slots, known?.facts.pace, now);
      const {calmMs} = facts.pace.baselines.read;
      const meanMs = START_SLOWNESS * Math.max(calmMs, TIMES.initialAnswerMs);
      facts.answerTime = {meanMs, at: now};
    },
    notePrimary(id) {
      if (id === undefined) return;
      const isPromoted = lastPrimary !== undefined && lastPrimary !== id;
      lastPrimary = id;
      const facts = links.get(id)?.facts;
      if (!isPromoted || !facts) return;
      facts.pace = afterPromotion(facts.pace, clock.now());
    },
    othersFailing,
  };
}
