/**
 * The core protocol of one group as a transition system: three endpoints, two
 * instances that may promote, a writer and a session. A step that is not taken
 * stands for a cut, lag, a lost request or a paused instance; steps whose
 * answer is lost are steps of their own. Where the protocol decides, the
 * functions of the product are called.
 */
import {Role, type EndpointStatus} from '@quetzalreel/endpoint';
import {
  type FailoverState,
  type GroupView,
  Reach,
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
  INDEXES,
  NO_REPORTS,
  Omission,
  type RecordOf,
  type Report,
  SIZE,
  type Session,
  type State,
  type Step,
  type Write,
  lastOf,
  replaced,
  reportOf,
  withEndpoint,
} from './state.js';

const UNSEEN: GroupView = viewOf({
  name: 'g',
  endpoints: INDEXES.map(i => ({
    ...{name: `e${i}`, host: 'h', port: 1, dataCentre: 'd'},
    ...{slots: 1, connections: 2, leaving: false},
  })),
});

/** The product's view of a group, built from reports. */
function groupView(reports: ReadonlyArray<Report | null>): GroupView {
  const endpoints = new Map(UNSEEN.endpoints);
  reports.forEach((report, i) => {
    const known = endpoints.get(`e${i}`)!;
    const status = report ? statusOf(report) : undefined;
    endpoints.set(`e${i}`, {...known, status, askedAt: 1, reach: Reach.Up});
  });
  return {...UNSEEN, endpoints};
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

/** All steps from a state. */
export function stepsFrom(state: State, bounds: Bounds): Step[] {
  const steps: Step[] = [];
  const add = (name: string, next: State | undefined) => {
    if (next) steps.push({name, state: checked(next)});
  };
  for (const i of INDEXES) {
    add(`replicate to e${i}`, replicate(state, i));
    add(`crash e${i}`, crash(state, i, bounds));
    add(`recover e${i}`, recover(state, i));
    add(`poll e${i}`, poll(state, i));
    add(`session hears e${i}`, hear(state, i));
    add(`session reads e${i}`, read(state, i, bounds));
  }
  for (let i = 0; i < bounds.instances; i++) {
    add(`p${i} starts a change`, startChange(state, i, bounds));
    add(`p${i} promotes`, promote(state, i, bounds));
    for (const e of INDEXES) {
      add(`p${i} fences e${e}`, fence(state, i, e, bounds, true));
      add(`p${i} fences e${e}, answer lost`, fence(state, i, e, bounds, false));
      add(`p${i} lets e${e} follow`, follow(state, i, e));
    }
  }
  state.writes.forEach((_, w) => {
    for (const e of INDEXES) {
      add(`write ${w} to e${e}`, commit(state, w, e, true, bounds));
      const lost = commit(state, w, e, false, bounds);
      add(`write ${w} to e${e}, answer lost`, lost);
    }
    add(`acknowledge ${w}`, acknowledge(state, w, bounds));
  });
  add('session arrives', arrive(state));
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

/** One record from the primary of the followed term, after alignment. */
function replicate(state: State, i: number): State | undefined {
  const replica = state.endpoints[i]!;
  if (replica.primary || !replica.up || replica.promised > replica.term) return;
  const source = state.endpoints.find(
    ({up, primary, term}) => up && primary && term === replica.term,
  );
  if (!source) return;
  let shared = 0;
  while (isSame(source.log[shared], replica.log[shared])) shared++;
  const next = source.log[shared];
  if (!next && shared === replica.log.length) return;
  const log = replica.log.slice(0, shared);
  return withEndpoint(state, i, {log: next ? [...log, next] : log});
}

function isSame(a: RecordOf | undefined, b: RecordOf | undefined): boolean {
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
  const attempt = {term: highest + 1, promises: NO_REPORTS, winner: -1};
  return {...state, attempts: replaced(state.attempts, i, attempt)};
}

function fence(
  state: State,
  i: number,
  e: number,
  bounds: Bounds,
  answered: boolean,
): State | undefined {
  const attempt = state.attempts[i];
  const endpoint = state.endpoints[e]!;
  if (!attempt || !endpoint.up || attempt.winner >= 0) return;
  if (attempt.promises[e]) return;
  const {term} = attempt;
  const isHeld = endpoint.promised === term && endpoint.holder === i;
  if (endpoint.promised >= term && !isHeld) return;
  const isFenced = bounds.omit !== Omission.Fence;
  const next = isFenced
    ? withEndpoint(state, e, {promised: term, holder: i})
    : state;
  if (!answered) return isHeld || !isFenced ? undefined : next;
  const promises = replaced(attempt.promises, e, lastOf(endpoint));
  const attempts = replaced(state.attempts, i, {...attempt, promises});
  return {...next, attempts};
}

const candidates = new Map<string, number>();

/** The candidate, remembered: the same promises give the same one. */
function candidateOf(attempt: Attempt, bounds: Bounds): number {
  const key = JSON.stringify([attempt.promises, bounds.omit]);
  const known = candidates.get(key);
  if (known !== undefined) return known;
  const found = chooseCandidate(attempt, bounds);
  candidates.set(key, found);
  return found;
}

/** The candidate that the product chooses from the promises. */
function chooseCandidate(attempt: Attempt, bounds: Bounds): number {
  const heard = INDEXES.filter(i => attempt.promises[i]);
  if (heard.length < majorityOf(SIZE)) return -1;
  if (bounds.omit === Omission.TermOrder) {
    const length = (i: number) => attempt.promises[i]!.offset;
    return heard.reduce((a, b) => (length(b) > length(a) ? b : a));
  }
  const held = {term: attempt.term, holder: 'p'};
  const status = (i: number) =>
    statusOf({last: attempt.promises[i]!, term: 1, primary: false});
  const [final, ...others] = [...heard].reverse();
  const state: FailoverState = {
    ...initialFailover(),
    step: 'fencing',
    attempt: held,
    promises: new Map(others.map(i => [`e${i}`, status(i)])),
  };
  const view = groupView(NO_REPORTS);
  const limits = {} as never;
  const context = {view, limits, instance: 'p', now: 0};
  const result = handlePromise(
    state,
    `e${final}`,
    held,
    status(final!),
    context,
  );
  return Number(result.state.candidate?.slice(1) ?? -1);
}

function promote(state: State, i: number, bounds: Bounds): State | undefined {
  const attempt = state.attempts[i];
  if (!attempt || attempt.winner >= 0) return;
  const winner = candidateOf(attempt, bounds);
  const endpoint = state.endpoints[winner];
  if (!endpoint?.up) return;
  const {term} = attempt;
  const isHeld = endpoint.promised === term && endpoint.holder === i;
  if (!isHeld && bounds.omit !== Omission.Fence) return;
  if (endpoint.term >= term) return;
  const attempts = replaced(state.attempts, i, {...attempt, winner});
  const log: RecordOf[] = [...endpoint.log, [term, -1]];
  const change = {primary: true, term, promised: term, holder: i, log};
  return {...withEndpoint(state, winner, change), attempts};
}

function follow(state: State, i: number, e: number): State | undefined {
  const attempt = state.attempts[i];
  if (!attempt || attempt.winner < 0 || attempt.winner === e) return;
  const endpoint = state.endpoints[e]!;
  const {term} = attempt;
  if (!endpoint.up || endpoint.promised > term || endpoint.term >= term) return;
  if (endpoint.promised === term && endpoint.holder !== i) return;
  const change = {primary: false, term, promised: term, holder: i};
  return withEndpoint(state, e, change);
}

function commit(
  state: State,
  w: number,
  e: number,
  answered: boolean,
  bounds: Bounds,
): State | undefined {
  const write = state.writes[w]!;
  const endpoint = state.endpoints[e]!;
  const again =
    bounds.omit === Omission.SendOnce && write.state === 'unknown' && answered;
  if ((write.state !== 'new' && !again) || !endpoint.up) return;
  const refuses = !endpoint.primary || endpoint.promised > endpoint.term;
  if (refuses) {
    if (!answered || again) return;
    return withWrite(state, w, {state: 'notRun', at: null});
  }
  const log: RecordOf[] = [...endpoint.log, [endpoint.term, w]];
  const next = withEndpoint(state, e, {log});
  const at = {term: endpoint.term, offset: log.length};
  return answered
    ? withWrite(next, w, {state: 'sent', at})
    : withWrite(next, w, {state: 'unknown', at: null});
}

function withWrite(state: State, w: number, write: Write): State {
  return {...state, writes: replaced(state.writes, w, write)};
}

function poll(state: State, i: number): State | undefined {
  const endpoint = state.endpoints[i]!;
  const waits = state.writes.some(write => write.state === 'sent');
  if (!endpoint.up || !waits) return;
  return {...state, view: replaced(state.view, i, reportOf(endpoint))};
}

function acknowledge(
  state: State,
  w: number,
  bounds: Bounds,
): State | undefined {
  const {state: stage, at} = state.writes[w]!;
  if (stage !== 'sent' || !at || !isSafe(state, at, bounds)) return;
  return withWrite(state, w, {state: 'acked', at: null});
}

function isSafe(state: State, at: Position, bounds: Bounds): boolean {
  if (bounds.omit === Omission.MajorityAck) return true;
  if (bounds.omit !== Omission.AckByRecord) {
    return isOnMajority(groupView(state.view), at);
  }
  const holders = state.view.filter(
    report => report?.term === at.term && report.last.offset >= at.offset,
  );
  return holders.length >= majorityOf(SIZE);
}

function arrive(state: State): State | undefined {
  if (state.session.arrived) return;
  const due = INDEXES.filter(w => state.writes[w]?.state === 'acked');
  if (due.length === 0) return;
  return {...state, session: {arrived: true, due, reports: NO_REPORTS}};
}

function hear(state: State, i: number): State | undefined {
  const {session} = state;
  const endpoint = state.endpoints[i]!;
  if (!session.arrived || session.reports[i] || !endpoint.up) return;
  const reports = replaced(session.reports, i, reportOf(endpoint));
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
  if (!floor || !isAtLeast(lastOf(endpoint), floor)) return;
  if (session.due.every(w => holds(endpoint, w))) return;
  return {...state, broken: 'a session never reads below its floor'};
}

function holds({log}: Endpoint, w: number): boolean {
  return log.some(record => record[1] === w);
}

/** Names of what is checked in every state. */
export const INVARIANTS = [
  'no acknowledged write is lost, nor acknowledged for a replaced primary',
  'no write is doubled',
  'not run never ran',
  'one primary at most serves a term',
  'a session never reads below its floor',
] as const;

/** The state, marked with the invariant that it breaks. */
function checked(state: State): State {
  if (state.broken) return state;
  const {endpoints, writes} = state;
  const primaries = endpoints.filter(endpoint => endpoint.primary);
  const terms = new Set(primaries.map(primary => primary.term));
  if (terms.size < primaries.length) return {...state, broken: INVARIANTS[3]};
  const newest = primaries.reduce((a, b) => (b.term > a.term ? b : a));
  for (const [w, {state: stage}] of writes.entries()) {
    const count = newest.log.filter(record => record[1] === w).length;
    const holders = endpoints.filter(endpoint => holds(endpoint, w));
    const isKept = count > 0 && holders.length >= majorityOf(SIZE);
    if (stage === 'acked' && !isKept) {
      return {...state, broken: INVARIANTS[0]};
    }
    if (count > 1) return {...state, broken: INVARIANTS[1]};
    if (stage === 'notRun' && holders.length > 0)
      return {...state, broken: INVARIANTS[2]};
  }
  return state;
}
