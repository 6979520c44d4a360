/**
 * Model of the core protocol of one group: three endpoints, up to two instances
 * that may change the primary, a writer and a session. A network partition, lag,
 * a lost request and a paused instance are modelled by steps that are not taken,
 * and a lost response by a step of its own. The protocol's decisions are made by
 * the production code.
 */
import {Role, type EndpointStatus} from '@quetzalreel/endpoint';
import {
  type FailoverState,
  type GroupView,
  Responsiveness,
  majorityFloor,
  initialFailover,
  isOnMajority,
  handlePromise,
  viewOf,
} from '@quetzalreel/group';
import {
  type Position,
  laterOf,
  majorityOf,
  isAtLeast,
} from '@quetzalreel/position';
import {
  type Attempt,
  type Bounds,
  type Endpoint,
  ENDPOINT_INDEXES,
  NO_REPORTS,
  Omission,
  type LogRecord,
  type Report,
  GROUP_SIZE,
  type Session,
  type State,
  type Step,
  type Write,
  lastPosition,
  withItem,
  reportOf,
  withEndpoint,
} from './state.js';

const INITIAL_VIEW: GroupView = viewOf({
  name: 'g',
  endpoints: ENDPOINT_INDEXES.map(i => ({
    ...{name: `e${i}`, host: 'h', port: 1, dataCentre: 'd'},
    ...{slots: 1, connections: 2, leaving: false},
  })),
});

/** Builds the production code's view of a group from reports. */
function groupView(reports: ReadonlyArray<Report | null>): GroupView {
  const endpoints = new Map(INITIAL_VIEW.endpoints);
  reports.forEach((report, i) => {
    const known = endpoints.get(`e${i}`)!;
    const status = report ? statusOf(report) : undefined;
    endpoints.set(`e${i}`, {
      ...known,
      status,
      askedAt: 1,
      reach: Responsiveness.Up,
    });
  });
  return {...INITIAL_VIEW, endpoints};
}

function statusOf(report: Report): EndpointStatus {
  return {
    role: report.primary ? Role.Primary : Role.Replica,
    term: report.term,
    promisedTerm: report.term,
    promisedTo: '',
    last: report.last,
    upstreamSilenceMs: 0,
  };
}

/** Lists every step possible in a state. */
export function stepsFrom(state: State, bounds: Bounds): Step[] {
  const steps: Step[] = [];
  const add = (name: string, next: State | undefined) => {
    if (next) steps.push({name, state: withInvariantsChecked(next)});
  };
  for (const i of ENDPOINT_INDEXES) {
    add(`replicate to e${i}`, replicate(state, i));
    add(`crash e${i}`, crash(state, i, bounds));
    add(`recover e${i}`, recover(state, i));
    add(`poll e${i}`, poll(state, i));
    add(`session hears e${i}`, receiveReport(state, i));
    add(`session reads e${i}`, read(state, i, bounds));
  }
  for (let i = 0; i < bounds.instances; i++) {
    add(`p${i} starts a change`, startChange(state, i, bounds));
    add(`p${i} promotes`, promote(state, i, bounds));
    for (const e of ENDPOINT_INDEXES) {
      add(`p${i} fences e${e}`, fence(state, i, e, bounds, true));
      add(`p${i} fences e${e}, answer lost`, fence(state, i, e, bounds, false));
      add(`p${i} lets e${e} follow`, followPromoted(state, i, e));
    }
  }
  state.writes.forEach((_, w) => {
    for (const e of ENDPOINT_INDEXES) {
      add(`write ${w} to e${e}`, sendWrite(state, w, e, true, bounds));
      const lost = sendWrite(state, w, e, false, bounds);
      add(`write ${w} to e${e}, answer lost`, lost);
    }
    add(`acknowledge ${w}`, acknowledge(state, w, bounds));
  });
  add('session arrives', startSession(state));
  return steps;
}

function crash(state: State, i: number, bounds: Bounds): State | undefined {
  if (!state.endpoints[i]!.up || state.crashes >= bounds.crashes) return;
  return {
    ...withEndpoint(state, i, {up: false}),
    crashes: state.crashes + 1,
  };
}

function recover(state: State, i: number): State | undefined {
  return state.endpoints[i]!.up
    ? undefined
    : withEndpoint(state, i, {up: true});
}

/**
 * Truncates the replica's log where it diverges from the log of the primary of
 * the term it follows, and appends the next record.
 */
function replicate(state: State, i: number): State | undefined {
  const replica = state.endpoints[i]!;
  if (replica.primary || !replica.up || replica.promised > replica.term) return;
  const source = state.endpoints.find(
    ({up, primary, term}) => up && primary && term === replica.term,
  );
  if (!source) return;
  let shared = 0;
  while (isSameRecord(source.log[shared], replica.log[shared])) shared++;
  const next = source.log[shared];
  if (!next && shared === replica.log.length) return;
  const log = replica.log.slice(0, shared);
  return withEndpoint(state, i, {log: next ? [...log, next] : log});
}

function isSameRecord(
  a: LogRecord | undefined,
  b: LogRecord | undefined,
): boolean {
  return !!a && !!b && a[0] === b[0] && a[1] === b[1];
}

function startChange(
  state: State,
  i: number,
  bounds: Bounds,
): State | undefined {
  const highest = Math.max(...state.endpoints.map(e => e.promised));
  const known = state.attempts[i];
  if (highest >= bounds.maxTerm || known?.term === highest + 1) return;
  const attempt = {
    term: highest + 1,
    promises: NO_REPORTS,
    promotedEndpoint: -1,
  };
  return {...state, attempts: withItem(state.attempts, i, attempt)};
}

/**
 * Makes an endpoint promise the attempt's term to the instance. `answered` is
 * false if the response is lost.
 */
function fence(
  state: State,
  i: number,
  e: number,
  bounds: Bounds,
  answered: boolean,
): State | undefined {
  const attempt = state.attempts[i];
  const endpoint = state.endpoints[e]!;
  if (!attempt || !endpoint.up || attempt.promotedEndpoint >= 0) return;
  if (attempt.promises[e]) return;
  const {term} = attempt;
  const isHeld = endpoint.promised === term && endpoint.holder === i;
  if (endpoint.promised >= term && !isHeld) return;
  const isFenced = bounds.omit !== Omission.Fence;
  const next = isFenced
    ? withEndpoint(state, e, {promised: term, holder: i})
    : state;
  if (!answered) return isHeld || !isFenced ? undefined : next;
  const promises = withItem(attempt.promises, e, lastPosition(endpoint));
  const attempts = withItem(state.attempts, i, {...attempt, promises});
  return {...next, attempts};
}

const candidateCache = new Map<string, number>();

/** Caches the candidate, which depends only on the promises and `omit`. */
function cachedCandidate(attempt: Attempt, bounds: Bounds): number {
  const key = JSON.stringify([attempt.promises, bounds.omit]);
  const known = candidateCache.get(key);
  if (known !== undefined) return known;
  const found = chooseCandidate(attempt, bounds);
  candidateCache.set(key, found);
  return found;
}

/** The candidate that the production code chooses; -1 without a majority. */
function chooseCandidate(attempt: Attempt, bounds: Bounds): number {
  const promisedEndpoints = ENDPOINT_INDEXES.filter(i => attempt.promises[i]);
  if (promisedEndpoints.length < majorityOf(GROUP_SIZE)) return -1;
  if (bounds.omit === Omission.TermOrder) {
    const length = (i: number) => attempt.promises[i]!.offset;
    return promisedEndpoints.reduce((a, b) => (length(b) > length(a) ? b : a));
  }
  const ownAttempt = {term: attempt.term, holder: 'p'};
  const status = (i: number) =>
    statusOf({last: attempt.promises[i]!, term: 1, primary: false});
  const [final, ...others] = [...promisedEndpoints].reverse();
  const state: FailoverState = {
    ...initialFailover(),
    step: 'fencing',
    attempt: ownAttempt,
    promises: new Map(others.map(i => [`e${i}`, status(i)])),
  };
  const view = groupView(NO_REPORTS);
  const limits = {} as never;
  const context = {view, limits, instance: 'p', now: 0};
  const result = handlePromise(
    state,
    `e${final}`,
    ownAttempt,
    status(final!),
    context,
  );
  return Number(result.state.candidate?.slice(1) ?? -1);
}

/** Promotes the candidate, which starts the new term with a record. */
function promote(state: State, i: number, bounds: Bounds): State | undefined {
  const attempt = state.attempts[i];
  if (!attempt || attempt.promotedEndpoint >= 0) return;
  const promotedEndpoint = cachedCandidate(attempt, bounds);
  const endpoint = state.endpoints[promotedEndpoint];
  if (!endpoint?.up) return;
  const {term} = attempt;
  const isHeld = endpoint.promised === term && endpoint.holder === i;
  if (!isHeld && bounds.omit !== Omission.Fence) return;
  if (endpoint.term >= term) return;
  const attempts = withItem(state.attempts, i, {...attempt, promotedEndpoint});
  const log: LogRecord[] = [...endpoint.log, [term, -1]];
  const change = {primary: true, term, promised: term, holder: i, log};
  return {...withEndpoint(state, promotedEndpoint, change), attempts};
}

/** Makes an endpoint follow the promoted one. */
function followPromoted(state: State, i: number, e: number): State | undefined {
  const attempt = state.attempts[i];
  if (
    !attempt ||
    attempt.promotedEndpoint < 0 ||
    attempt.promotedEndpoint === e
  )
    return;
  const endpoint = state.endpoints[e]!;
  const {term} = attempt;
  if (!endpoint.up || endpoint.promised > term || endpoint.term >= term) return;
  if (endpoint.promised === term && endpoint.holder !== i) return;
  const change = {primary: false, term, promised: term, holder: i};
  return withEndpoint(state, e, change);
}

/** Sends a write to an endpoint. `answered` is false if the response is lost. */
function sendWrite(
  state: State,
  w: number,
  e: number,
  answered: boolean,
  bounds: Bounds,
): State | undefined {
  const write = state.writes[w]!;
  const endpoint = state.endpoints[e]!;
  const isRetry =
    bounds.omit === Omission.SendOnce && write.state === 'unknown' && answered;
  if ((write.state !== 'new' && !isRetry) || !endpoint.up) return;
  const isRejected = !endpoint.primary || endpoint.promised > endpoint.term;
  if (isRejected) {
    if (!answered || isRetry) return;
    return withWrite(state, w, {state: 'notRun', at: null});
  }
  const log: LogRecord[] = [...endpoint.log, [endpoint.term, w]];
  const next = withEndpoint(state, e, {log});
  const at = {term: endpoint.term, offset: log.length};
  return answered
    ? withWrite(next, w, {state: 'sent', at})
    : withWrite(next, w, {state: 'unknown', at: null});
}

function withWrite(state: State, w: number, write: Write): State {
  return {...state, writes: withItem(state.writes, w, write)};
}

/** Updates the report by which writes are acknowledged. */
function poll(state: State, i: number): State | undefined {
  const endpoint = state.endpoints[i]!;
  const isAckPending = state.writes.some(write => write.state === 'sent');
  if (!endpoint.up || !isAckPending) return;
  return {...state, view: withItem(state.view, i, reportOf(endpoint))};
}

function acknowledge(
  state: State,
  w: number,
  bounds: Bounds,
): State | undefined {
  const {state: stage, at} = state.writes[w]!;
  if (stage !== 'sent' || !at || !canAcknowledge(state, at, bounds)) return;
  return withWrite(state, w, {state: 'acked', at: null});
}

function canAcknowledge(state: State, at: Position, bounds: Bounds): boolean {
  if (bounds.omit === Omission.MajorityAck) return true;
  if (bounds.omit !== Omission.AckByRecord) {
    return isOnMajority(groupView(state.view), at);
  }
  const holders = state.view.filter(
    report => report?.term === at.term && report.last.offset >= at.offset,
  );
  return holders.length >= majorityOf(GROUP_SIZE);
}

function startSession(state: State): State | undefined {
  if (state.session.arrived) return;
  const expectedWrites = ENDPOINT_INDEXES.filter(
    w => state.writes[w]?.state === 'acked',
  );
  if (expectedWrites.length === 0) return;
  return {
    ...state,
    session: {arrived: true, expectedWrites, reports: NO_REPORTS},
  };
}

function receiveReport(state: State, i: number): State | undefined {
  const {session} = state;
  const endpoint = state.endpoints[i]!;
  if (!session.arrived || session.reports[i] || !endpoint.up) return;
  const reports = withItem(session.reports, i, reportOf(endpoint));
  return {...state, session: {...session, reports}};
}

function floorOf(session: Session, bounds: Bounds): Position | undefined {
  if (bounds.omit !== Omission.MajorityFloor) {
    return majorityFloor(groupView(session.reports), 1);
  }
  const primaries = session.reports.filter(report => report?.primary);
  if (primaries.length === 0) return undefined;
  return primaries.map(report => report!.last).reduce(laterOf);
}

function read(state: State, i: number, bounds: Bounds): State | undefined {
  const {session} = state;
  const endpoint = state.endpoints[i]!;
  if (!session.arrived || !endpoint.up) return;
  const floor = floorOf(session, bounds);
  if (!floor || !isAtLeast(lastPosition(endpoint), floor)) return;
  if (session.expectedWrites.every(w => hasWrite(endpoint, w))) return;
  return {...state, broken: 'a session never reads below its floor'};
}

function hasWrite({log}: Endpoint, w: number): boolean {
  return log.some(record => record[1] === w);
}

/** Invariants checked in every state, by the texts that are printed. */
export const INVARIANTS = [
  'no acknowledged write is lost, nor acknowledged for a replaced primary',
  'no write is doubled',
  'not run never ran',
  'one primary at most serves a term',
  'a session never reads below its floor',
] as const;

/** Sets `broken` to the invariant that the state breaks, if any. */
function withInvariantsChecked(state: State): State {
  if (state.broken) return state;
  const {endpoints, writes} = state;
  const primaries = endpoints.filter(endpoint => endpoint.primary);
  const terms = new Set(primaries.map(primary => primary.term));
  if (terms.size < primaries.length) return {...state, broken: INVARIANTS[3]};
  const newest = primaries.reduce((a, b) => (b.term > a.term ? b : a));
  for (const [w, {state: stage}] of writes.entries()) {
    const count = newest.log.filter(record => record[1] === w).length;
    const holders = endpoints.filter(endpoint => hasWrite(endpoint, w));
    const isKept = count > 0 && holders.length >= majorityOf(GROUP_SIZE);
    if (stage === 'acked' && !isKept) {
      return {...state, broken: INVARIANTS[0]};
    }
    if (count > 1) return {...state, broken: INVARIANTS[1]};
    if (stage === 'notRun' && holders.length > 0)
      return {...state, broken: INVARIANTS[2]};
  }
  return state;
}
