/**
 * Default intervals, timeouts and limits of the daemon, in milliseconds unless
 * named otherwise.
 */

/** Limits of a group in one instance. */
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

/** Intervals and timeouts of the daemon's own loops and calls. */
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
  /**
   * Time for the message about leaving to reach peers before the process ends.
   */
  leaveDelayMs: 100,
  /** Interval between two reads of the platform's list of instances. */
  instanceListIntervalMs: 2000,
  /** Minimum interval between two requests for the same document. */
  documentRetryMs: 300,
} as const;

/** Intervals and limits of the membership protocol. */
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

/** Limits of the links between instances. */
export const LINK_LIMITS = {
  maxFrameBytes: 2 * 1024 * 1024,
  maxQueuedBytes: 8 * 1024 * 1024,
  responseTimeoutMs: 1000,
  idleMs: 10_000,
  connectMs: 1000,
} as const;

/** Delays and intervals of connection shares. */
export const SHARE_LIMITS = {
  growthDelayMs: 2000,
  loanDurationMs: 1000,
  loanRequestIntervalMs: 100,
} as const;

/** Intervals and timeouts of the connection pools. */
export const POOL_TIMES = {
  maxAgeForWriteMs: 200,
  idleCheckAfterMs: 1000,
  checkTimeoutMs: 250,
  maxWaitMs: 500,
  initialRetryDelayMs: 20,
  maxRetryDelayMs: 1000,
  tickMs: 20,
} as const;

/** Time limits of a graceful shutdown. */
export const DRAIN_TIMES = {
  transactionLimitMs: 5000,
  totalLimitMs: 15_000,
  checkIntervalMs: 10,
} as const;
