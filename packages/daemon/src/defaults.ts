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
  poll: {idleIntervalMs: 50, longPollMs: 10, failureRetryMs: 20},
  groupTickMs: 20,
  controlCallMs: 1000,
  connectMs: 1000,
  loginMs: 10_000,
  idleTransactionMs: 10_000,
  firstReadTimeoutMs: 1000,
  platformCallMs: 2000,
  config: {watchMs: 2000, rereadMs: 1000, retryMs: 200},
  fleetTickMs: 100,
  /** Time for the news of leaving to reach others before the end. */
  leaveDelayMs: 100,
  /** Time between two reads of the platform's list of instances. */
  instanceListIntervalMs: 2000,
  /** Wait before one peer is asked for the same document again. */
  documentRetryMs: 300,
} as const;

/** Times and bounds of membership. */
export const MEMBERSHIP_LIMITS = {
  probeIntervalMs: 500,
  directProbeTimeoutMs: 150,
  probeTimeoutMs: 450,
  suspicionMs: 2000,
  forgetAfterMs: 60_000,
  pauseThresholdMs: 1000,
  relayCount: 3,
  fanOut: 3,
} as const;

/** Bounds of the links between instances. */
export const LINK_LIMITS = {
  maxFrameBytes: 2 * 1024 * 1024,
  maxQueuedBytes: 8 * 1024 * 1024,
  responseTimeoutMs: 1000,
  idleMs: 10_000,
  connectMs: 1000,
} as const;

/** Times of the shares of connections. */
export const SHARE_LIMITS = {
  growthDelayMs: 2000,
  loanDurationMs: 1000,
  loanRequestIntervalMs: 100,
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

/** Bounds of a planned stop. */
export const DRAIN_TIMES = {
  transactionLimitMs: 5000,
  totalLimitMs: 15_000,
  checkIntervalMs: 10,
} as const;
