/** The limits for callers, and counts of what was refused by them. */

/** Names of the limits. */
export const CallerLimit = {
  Memory: 'memory',
  Connections: 'connections',
  FirstMessage: 'firstMessage',
  MessageProgress: 'messageProgress',
  MessageLength: 'messageLength',
  AnswerTime: 'answerTime',
  Values: 'values',
  Prepared: 'prepared',
} as const;

/** One of the values of `CallerLimit`. */
export type CallerLimit = (typeof CallerLimit)[keyof typeof CallerLimit];

/** Limits of one caller's session. */
export interface SessionLimits {
  /** Session variables: their number, and their bytes together. */
  readonly values: number;
  readonly valueBytes: number;
  /** Prepared statements: their number, and their bytes together. */
  readonly prepared: number;
  readonly preparedBytes: number;
}

/** Limits of the connections of callers. */
export interface ConnectionLimits {
  /** Connections that are open at the same time. */
  readonly connections: number;
  /** Time for the first message, in milliseconds. */
  readonly firstMessageMs: number;
  /** Time in which a message that has begun has to grow or end, in
   * milliseconds. */
  readonly progressMs: number;
  /** A caller that takes nothing of what it is sent for this long is given up, in
   * milliseconds. */
  readonly answerMs: number;
}

/** Told when a limit refuses a caller something. */
export type OnLimit = (limit: CallerLimit, bytes: number) => void;
