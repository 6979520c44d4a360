/** The states of the core protocol's specification, and their parts. */
import {EMPTY_LOG_POSITION, type Position} from '@quetzalreel/position';

/** Rules that can be taken out, to see that an invariant bites. */
export const Omission = {
  Fence: 'no fence',
  MajorityAck: 'ack at the primary',
  MajorityFloor: 'floor from the primary alone',
  TermOrder: 'order by length alone',
  AckByRecord: 'ack counted by followed term',
  SendOnce: 'a retry after send',
} as const;

/** One of the values of `Omission`. */
export type Omission = (typeof Omission)[keyof typeof Omission];

/** Bounds of the exploration. */
export interface Bounds {
  readonly writes: number;
  readonly maxTerm: number;
  readonly crashes: number;
  /** Instances that may change the primary, 1 or 2. */
  readonly instances: number;
  readonly omit?: Omission;
}

/** One record: its term, and the write in it, -1 at the start of a term. */
export type RecordOf = readonly [term: number, write: number];

/** An endpoint. */
export interface Endpoint {
  readonly up: boolean;
  readonly primary: boolean;
  readonly term: number;
  readonly promised: number;
  /** Instance that holds the promise; -1 for none. */
  readonly holder: number;
  readonly log: readonly RecordOf[];
}

/** What an instance has of a status: position, followed term. */
export interface Report {
  readonly last: Position;
  readonly term: number;
  readonly primary: boolean;
}

/** An instance's attempt at a change of primary. */
export interface Attempt {
  readonly term: number;
  readonly promises: ReadonlyArray<Position | null>;
  readonly winner: number;
}

/** A write as its caller knows it. */
export interface Write {
  readonly state: 'new' | 'sent' | 'acked' | 'unknown' | 'notRun';
  readonly at: Position | null;
}

/** A session that arrives, finds its floor and reads. */
export interface Session {
  readonly arrived: boolean;
  /** Writes that were acknowledged before its arrival. */
  readonly due: readonly number[];
  readonly reports: ReadonlyArray<Report | null>;
}

/** A state of the system. */
export interface State {
  readonly endpoints: readonly Endpoint[];
  readonly attempts: ReadonlyArray<Attempt | null>;
  readonly view: ReadonlyArray<Report | null>;
  readonly writes: readonly Write[];
  readonly session: Session;
  readonly crashes: number;
  /** Invariant that the last step broke. */
  readonly broken: string | null;
}

/** A step with its name. */
export interface Step {
  readonly name: string;
  readonly state: State;
}

/** Endpoints of the group. */
export const SIZE = 3;
/** Their indexes. */
export const INDEXES = [0, 1, 2] as const;
/** Nothing was heard of any of them. */
export const NO_REPORTS = [null, null, null];

/** Endpoint 0 serves term 1; the others follow it. */
export function initialState(bounds: Bounds): State {
  const endpoint = (primary: boolean): Endpoint => ({
    up: true,
    primary,
    term: 1,
    promised: 1,
    holder: -1,
    log: [[1, -1]],
  });
  return {
    endpoints: [endpoint(true), endpoint(false), endpoint(false)],
    attempts: [null, null],
    view: NO_REPORTS,
    writes: Array.from({length: bounds.writes}, () => ({
      state: 'new' as const,
      at: null,
    })),
    session: {arrived: false, due: [], reports: NO_REPORTS},
    crashes: 0,
    broken: null,
  };
}

/** Where a log stands. */
export function lastOf({log}: Endpoint): Position {
  const last = log.at(-1);
  return last ? {term: last[0], offset: log.length} : EMPTY_LOG_POSITION;
}

/** An endpoint's status. */
export function reportOf(endpoint: Endpoint): Report {
  const {term, primary} = endpoint;
  return {last: lastOf(endpoint), term, primary};
}

/** A copy of `items` with another one at `index`. */
export function replaced<Item>(
  items: readonly Item[],
  index: number,
  item: Item,
): Item[] {
  return items.map((old, i) => (i === index ? item : old));
}

/** The state after a change of one endpoint. */
export function withEndpoint(
  state: State,
  index: number,
  change: Partial<Endpoint>,
): State {
  const endpoint = {...state.endpoints[index]!, ...change};
  return {...state, endpoints: replaced(state.endpoints, index, endpoint)};
}
