/** The daemon's times and bounds. All times are in milliseconds. */

/** Bounds of a group in one instance. */
export const GROUP_LIMITS = {
  suspectAfterMs: 150,
  replicaSilenceMs: 150,
  stepMs: 1000,
  retryMs: 100,
  unfinishedAfterMs: 100,
  startDelayMs: 30,
  maxWaiting: 5000,
  maxWaitingBytes: 32 * 1024 * 1024,
} as const;

/** Times of the daemon's own loops and calls. */
export const TIMES = {
  poll: {idleMs: 50, holdMs: 10, failingMs: 20},
  tickMs: 20,
  controlCallMs: 250,
  connectMs: 1000,
  loginMs: 10_000,
  idleTransactionMs: 10_000,
  readSilenceMs: 1000,
  platformCallMs: 2000,
  config: {watchMs: 2000, retryMs: 200},
} as const;

/** Times of the pools of connections. */
export const POOL_TIMES = {
  checkBeforeWriteMs: 200,
  checkIdleMs: 1000,
  checkAnswerMs: 250,
  waitMs: 500,
  retryMs: 20,
  maxRetryMs: 1000,
  tickMs: 20,
} as const;
