/**
 * Plays the load of callers against a fleet of instances and one group of
 * endpoints, on a simulated clock and without a network. Everything that places,
 * limits, relays and repeats statements is the proxy's own code.
 */
import {manualClock} from '@quetzalreel/common';
import {type Answer, ErrorCode, type Statement} from '@quetzalreel/requests';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {NO_ACCOUNT} from '../src/accounts.js';
import {createLog} from '../src/log.js';
import {proxyMetrics} from '../src/metrics.js';
import type {ReadRule, Route} from '../src/routes.js';
import {type ServeContext, newSessionData} from '../src/session-context.js';
import {serveRead, serveWrite} from '../src/single-statement.js';
import {callerTransaction} from '../src/transaction.js';
import {
  type EndpointFault,
  type EndpointTraits,
  type SimulatedEndpoint,
  simulatedGroup,
} from './simulated-endpoint.js';
import {simulatedFleet} from './simulated-fleet.js';

/** A kind of operation that callers ask for. Times are in milliseconds. */
export interface CallerClass {
  readonly name: string;
  readonly rule: ReadRule;
  readonly perSecond: number;
  /** Mean work of a statement. */
  readonly workMs: number;
  readonly maxWorkMs: number;
  /** Share of the statements that take `TAIL_FACTOR` times as long. */
  readonly tailShare?: number;
  /** Shares of single writes and of transactions among the operations. */
  readonly writes: number;
  readonly transactions: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly statementTimeoutMs: number;
  readonly maxStalenessMs: number;
  readonly priority: number;
}

/** A load to play. */
export interface LoadOptions {
  readonly seed: number;
  readonly instances: number;
  readonly endpoints: EndpointTraits;
  readonly classes: readonly CallerClass[];
  /** How long callers come, in milliseconds. */
  readonly lengthMs: number;
  /** Factor on the load at a time since the start. */
  readonly factorAt?: (atMs: number) => number;
  /** Disturbances of endpoints, at times since the start. */
  readonly faults?: readonly EndpointFault[];
}

/** What one endpoint did within `SPAN_MS`. */
export interface EndpointSpan {
  /** Statements that it ran. */
  ran: number;
  /** The most statements that it had in flight at once. */
  mostInFlight: number;
}

/** What became of the operations that began within one second. */
export interface SecondOutcome {
  asked: number;
  inTime: number;
  late: number;
  /** Not served: refused for good, or not answered by the deadline. */
  unserved: number;
}

/** The result of a load. */
export interface LoadResult {
  readonly all: SecondOutcome;
  readonly byClass: ReadonlyMap<string, SecondOutcome>;
  readonly bySecond: readonly SecondOutcome[];
  readonly endpoints: readonly SimulatedEndpoint[];
  /** Connections that were opened after the callers began to come. */
  readonly opened: number;
  /** What each endpoint did, by its id, in spans of `SPAN_MS`. */
  readonly endpointSpans: ReadonlyMap<string, readonly EndpointSpan[]>;
}

/** Time before the callers come, in milliseconds: instances open connections. */
const LEAD_MS = 2000;
/** Length of a span in which the endpoints are observed, in milliseconds. */
export const SPAN_MS = 500;
const STEP_MS = 1;
const MS_PER_SECOND = 1000;
const ENDPOINT_IDS = ['e-0', 'e-1', 'e-2'] as const;
const MAX_TRIES = 3;
/** Statements of a transaction before COMMIT, and the pause between them. */
const TRANSACTION_STATEMENTS = 3;
const PAUSE_MS = 10;
/** Spread of the logarithm of a statement's work. */
const WORK_SPREAD = 0.7;
const TAIL_FACTOR = 5;

function noOutcome(): SecondOutcome {
  return {asked: 0, inTime: 0, late: 0, unserved: 0};
}

/** Plays a load and resolves with what became of it. */
export async function playLoad(options: LoadOptions): Promise<LoadResult> {
  const clock = manualClock();
  const random = xoroshiro128plus(options.seed);
  const chance = () => uniformFloat64(random);
  const log = createLog('test', {write: () => {}});
  const metrics = proxyMetrics({
    groups: () => [],
    generation: () => 0,
    storeEra: () => 0,
    sessions: () => 0,
    heldAnswerBytes: () => 0,
    now: () => clock.now(),
  });
  const faults = (options.faults ?? []).map(fault => ({
    ...fault,
    fromMs: fault.fromMs + LEAD_MS,
    untilMs: fault.untilMs + LEAD_MS,
  }));
  const {endpoints, driver} = simulatedGroup(
    clock,
    ENDPOINT_IDS,
    options.endpoints,
    faults,
    chance,
  );
  const groups = simulatedFleet(options.instances, {
    ...options.endpoints,
    clock,
    log,
    driver,
    chance,
    faults,
    endpoints: ENDPOINT_IDS,
  });
  const all = noOutcome();
  const byClass = new Map(
    options.classes.map(({name}) => [name, noOutcome()] as const),
  );
  const bySecond: SecondOutcome[] = [];
  let requests = 0;

  function workOf({workMs, maxWorkMs, tailShare}: CallerClass): number {
    const u = Math.max(chance(), Number.MIN_VALUE);
    const normal =
      Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * chance());
    const mean = Math.exp((WORK_SPREAD * WORK_SPREAD) / 2);
    const drawn = (workMs / mean) * Math.exp(WORK_SPREAD * normal);
    const isLong = tailShare !== undefined && chance() < tailShare;
    return Math.min(maxWorkMs, isLong ? drawn * TAIL_FACTOR : drawn);
  }

  function requestOf(of: CallerClass, statement: Statement) {
    const text = `${statement.type.toUpperCase()} ${workOf(of).toFixed(1)}`;
    return {id: `r${++requests}`, text, statement};
  }

  /** Runs one try of an operation; resolves with its last answer. */
  async function tryOperation(
    of: CallerClass,
    context: () => ServeContext,
  ): Promise<Answer> {
    const kind = chance();
    if (kind < of.writes)
      return serveWrite(context(), requestOf(of, {type: 'write'}));
    if (kind >= of.writes + of.transactions)
      return serveRead(context(), requestOf(of, {type: 'read'}));
    const readOnly = of.writes === 0;
    const transaction = callerTransaction(readOnly, clock);
    for (let i = 0; i < TRANSACTION_STATEMENTS; i++) {
      const type = !readOnly && i === 0 ? 'write' : 'read';
      const answer = await transaction.serve(context(), requestOf(of, {type}));
      if (answer.error) {
        transaction.abandon();
        return answer;
      }
      await clock.sleep(chance() * 2 * PAUSE_MS);
    }
    return transaction.serve(context(), requestOf(of, {type: 'commit'}));
  }

  async function operate(of: CallerClass): Promise<void> {
    const startedAt = clock.now();
    const second = Math.floor((startedAt - LEAD_MS) / MS_PER_SECOND);
    bySecond[second] ??= noOutcome();
    const counts = [all, byClass.get(of.name)!, bySecond[second]];
    for (const count of counts) count.asked++;
    const deadline = startedAt + of.deadlineMs;
    const route: Route = {
      database: of.name,
      group: 'g',
      isPublic: false,
      ...of,
    };
    const sessionData = newSessionData();
    let answer: Answer | undefined;
    for (let tries = 0; tries < MAX_TRIES && clock.now() < deadline; tries++) {
      const group = groups[Math.floor(chance() * groups.length)]!;
      answer = await tryOperation(of, () => ({
        clock,
        log,
        metrics,
        route,
        group,
        sessionData,
        account: NO_ACCOUNT,
        arrivedAt: clock.now(),
        answerBy: () => Infinity,
        hasDisconnected: () => clock.now() >= deadline,
      }));
      const code = answer.error?.code;
      if (code !== ErrorCode.Busy && code !== ErrorCode.Aborted) break;
    }
    const tookMs = clock.now() - startedAt;
    for (const count of counts) {
      if (!answer || answer.error || tookMs > of.deadlineMs) count.unserved++;
      else if (tookMs > of.objectiveMs) count.late++;
      else count.inTime++;
    }
  }

  const endpointSpans = new Map<string, EndpointSpan[]>(
    ENDPOINT_IDS.map(id => [id, []]),
  );
  const ranBefore = new Map<string, number>();

  function observeEndpoints(): void {
    const span = Math.floor((clock.now() - LEAD_MS) / SPAN_MS);
    if (span < 0) return;
    for (const {id, ran, inFlight} of endpoints) {
      const spans = endpointSpans.get(id)!;
      spans[span] ??= {ran: 0, mostInFlight: 0};
      const seen = spans[span];
      seen.ran += ran - (ranBefore.get(id) ?? ran);
      seen.mostInFlight = Math.max(seen.mostInFlight, inFlight);
      ranBefore.set(id, ran);
    }
  }

  async function step(): Promise<void> {
    clock.advance(STEP_MS);
    observeEndpoints();
    // Lets every promise that the step has settled run its continuation.
    await new Promise(resolve => setImmediate(resolve));
  }

  for (let at = 0; at < LEAD_MS; at += STEP_MS) await step();
  const openedBefore = endpoints.map(({opened}) => opened);
  const operations: Array<Promise<void>> = [];
  for (let at = 0; at < options.lengthMs; at += STEP_MS) {
    for (const of of options.classes) {
      const factor = options.factorAt?.(at) ?? 1;
      const share = (of.perSecond * factor * STEP_MS) / MS_PER_SECOND;
      if (chance() < share) operations.push(operate(of));
    }
    await step();
  }
  let isDone = false;
  void Promise.all(operations).then(() => (isDone = true));
  while (!isDone) await step();
  let opened = 0;
  for (const [i, endpoint] of endpoints.entries())
    opened += endpoint.opened - openedBefore[i]!;
  const counts = {all, byClass, bySecond};
  return {...counts, endpoints, opened, endpointSpans};
}
