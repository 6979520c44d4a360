/** State of the core protocol's model. */
import {EMPTY_LOG_POSITION, type Position} from '@quetzalreel/position';

/**
 * Rules that can be disabled, to check that an invariant then breaks. Each text
 * says what happens without the rule.
 */
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

/** Bounds of the state space. */
export interface Bounds {
  readonly writes: number;
  readonly maxTerm: number;
  readonly crashes: number;
  /** Instances that may change the primary, 1 or 2. */
  readonly instances: number;
  readonly omit?: Omission;
}

/** A log record: its term and write; -1 for the record that starts a term. */
export type LogRecord = readonly [term: number, write: number];

/** State of an endpoint. */
export interface Endpoint {
  readonly up: boolean;
  readonly primary: boolean;
  readonly term: number;
  readonly promised: number;
  /** Instance to which `promised` was promised; -1 for none. */
  readonly holder: number;
  readonly log: readonly LogRecord[];
}

/** The part of an endpoint's status that an instance received. */
export interface Report {
  readonly last: Position;
  /** Term that the endpoint serves or follows. */
  readonly term: number;
  readonly primary: boolean;
}

/** An instance's attempt at a change of primary. */
export interface Attempt {
  readonly term: number;
  /** Log position of each endpoint that has promised; null for the others. */
  readonly promises: ReadonlyArray<Position | null>;
  /** Index of the endpoint that was promoted; -1 before that. */
  readonly promotedEndpoint: number;
}

/** A write with its outcome as the writer knows it. */
export interface Write {
  readonly state: 'new' | 'sent' | 'acked' | 'unknown' | 'notRun';
  readonly at: Position | null;
}

/** A session that starts, determines its floor and reads. */
export interface Session {
  readonly arrived: boolean;
  /** Writes acknowledged before the session started; its reads must see them. */
  readonly expectedWrites: readonly number[];
  readonly reports: ReadonlyArray<Report | null>;
}

/** A state of the model. */
export interface State {
  readonly endpoints: readonly Endpoint[];
  readonly attempts: ReadonlyArray<Attempt | null>;
  /** Reports by which an instance decides whether a write is on a majority. */
  readonly view: ReadonlyArray<Report | null>;
  readonly writes: readonly Write[];
  readonly session: Session;
  /** Number of crashes so far. */
  readonly crashes: number;
  /** Invariant that is broken in this state; null for none. */
  readonly broken: string | null;
}

/** A named step and the state that it leads to. */
export interface Step {
  readonly name: string;
  readonly state: State;
}

/** Number of endpoints in the group. */
export const GROUP_SIZE = 3;
/** Indexes of the endpoints. */
export const ENDPOINT_INDEXES = [0, 1, 2] as const;
/** No report received from any endpoint. */
export const NO_REPORTS = [null, null, null];

/** Initial state: endpoint 0 is primary in term 1, and the others follow it. */
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
    session: {arrived: false, expectedWrites: [], reports: NO_REPORTS},
    crashes: 0,
    broken: null,
  };
}

/** Position of the last record of a log. */
export function lastPosition({log}: Endpoint): Position {
  const last = log.at(-1);
  return last ? {term: last[0], offset: log.length} : EMPTY_LOG_POSITION;
}

/** The report that an endpoint would send now. */
export function reportOf(endpoint: Endpoint): Report {
  const {term, primary} = endpoint;
  return {last: lastPosition(endpoint), term, primary};
}

/** Copies `items` with `item` at `index`. */
export function withItem<Item>(
  items: readonly Item[],
  index: number,
  item: Item,
): Item[] {
  return items.map((old, i) => (i === index ? item : old));
}

/** Copies the state with some fields of one endpoint replaced. */
export function withEndpoint(
  state: State,
  index: number,
  change: Partial<Endpoint>,
): State {
  const endpoint = {...state.endpoints[index]!, ...change};
  return {...state, endpoints: withItem(state.endpoints, index, endpoint)};
}
