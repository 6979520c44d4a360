/**
 * Generates the fault schedule of a seed: overlapping series of faults, each
 * with a duration. It depends only on the seed and the length of the run.
 * `faults.ts` carries the faults out.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Kinds of fault. */
export const FaultKind = {
  /** An instance's process is killed and restarted. */
  Kill: 'kill',
  /** All instances are killed at once and restarted. */
  KillAll: 'killAll',
  /** An instance is stopped gracefully and restarted. */
  Stop: 'stop',
  /** An instance's process is suspended for a while. */
  Pause: 'pause',
  /** An instance's settings file is rewritten and the process gets SIGHUP. */
  Reload: 'reload',
  /** An instance's links to the store hold back all bytes. */
  StoreCut: 'storeCut',
  /** An instance's links to an endpoint hold back bytes, in one direction or
   * both. */
  EndpointCut: 'endpointCut',
  /** An instance's links to an endpoint are reset. */
  EndpointReset: 'endpointReset',
  /** An instance's current links to an endpoint and to the store stop
   * forwarding permanently; new links work. */
  Silence: 'silence',
  /** An instance's links to an endpoint delay all bytes. */
  Delay: 'delay',
  /** Callers' links to an instance are reset. */
  CallerReset: 'callerReset',
  /** An endpoint is unresponsive, and its connections are reset. */
  Dark: 'dark',
  /** Replication to an endpoint is paused. */
  Deaf: 'deaf',
  /** An endpoint runs some statements without answering them. */
  LoseAnswers: 'loseAnswers',
  /** An endpoint refuses some statements, or fails some that it runs. */
  Refuse: 'refuse',
  /** An endpoint refuses new connections. */
  Full: 'full',
  /** An endpoint drains, leaves the group and is restarted. */
  Leave: 'leave',
  /** The store refuses, resets or ignores all calls. */
  StoreDown: 'storeDown',
  /** The store applies some changes without answering. */
  StoreLost: 'storeLost',
  /** The store drops its change history. */
  StoreForgets: 'storeForgets',
  /** The store is away and comes back from an older copy. */
  StoreRestored: 'storeRestored',
  /** A configuration with an additional route is put in force. */
  Configure: 'configure',
} as const;

/** One of the values of `FaultKind`. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** One fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** Start of the fault, in milliseconds after the start of the schedule. */
  readonly at: number;
  /** Duration in milliseconds; 0 for a fault without a duration. */
  readonly forMs: number;
  /** Random numbers that select the instance, the endpoint and the variant,
   * each modulo the number of choices. */
  readonly instance: number;
  readonly endpoint: number;
  readonly variant: number;
}

/** Minimum and maximum duration of each kind of fault, in milliseconds. */
const DURATION_RANGES_MS: Readonly<
  Record<FaultKind, readonly [number, number]>
> = {
  kill: [200, 1000],
  killAll: [200, 800],
  stop: [0, 0],
  pause: [300, 3500],
  reload: [0, 0],
  storeCut: [500, 4000],
  endpointCut: [300, 3000],
  endpointReset: [0, 0],
  silence: [0, 0],
  delay: [500, 3000],
  callerReset: [0, 0],
  dark: [800, 3500],
  deaf: [500, 3000],
  loseAnswers: [0, 0],
  refuse: [0, 0],
  full: [300, 1500],
  leave: [1500, 3000],
  storeDown: [500, 3000],
  storeLost: [0, 0],
  storeForgets: [0, 0],
  // The age of the copy.
  storeRestored: [300, 4000],
  configure: [0, 0],
};

/** Minimum and maximum number of series in a run, and of faults in a series. */
const SERIES_COUNT_RANGE = [2, 4] as const;
const SERIES_LENGTH_RANGE = [1, 4] as const;
/** Longest pause between two faults of a series, in milliseconds. */
const MAX_GAP_MS = 900;
/** Earliest start of a fault, in milliseconds, so that callers are active. */
const INITIAL_DELAY_MS = 500;
/** One run of so many has its store restored. */
const RUNS_PER_RESTORE = 4;

/** Returns the faults of `seed` within `lengthMs`, ordered by start time. */
export function scheduleOf(seed: number, lengthMs: number): readonly Fault[] {
  const random = xoroshiro128plus(seed);
  const pick = ([least, most]: readonly [number, number]) =>
    uniformInt(random, least, most);
  const kinds = Object.values(FaultKind).filter(
    kind => kind !== FaultKind.StoreRestored,
  );
  const faults: Fault[] = [];
  const faultAt = (kind: FaultKind, at: number): Fault => ({
    kind,
    at,
    forMs: pick(DURATION_RANGES_MS[kind]),
    instance: pick([0, 999]),
    endpoint: pick([0, 999]),
    variant: pick([0, 999]),
  });
  const series = pick(SERIES_COUNT_RANGE);
  for (let i = 0; i < series; i++) {
    const kind = kinds[pick([0, kinds.length - 1])]!;
    const length = pick(SERIES_LENGTH_RANGE);
    let at = pick([INITIAL_DELAY_MS, lengthMs]);
    for (let k = 0; k < length && at < lengthMs; k++) {
      faults.push(faultAt(kind, at));
      at += pick([0, MAX_GAP_MS]);
    }
  }
  // Drawn last, so that the other faults of a seed stay the same.
  if (pick([1, RUNS_PER_RESTORE]) === 1) {
    const at = pick([INITIAL_DELAY_MS, lengthMs]);
    faults.push(faultAt(FaultKind.StoreRestored, at));
  }
  return faults.sort((a, b) => a.at - b.at);
}
