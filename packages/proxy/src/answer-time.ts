/**
 * Estimates how long a read takes at an endpoint, for the choice among those
 * that could run it. Statements that only the primary runs don't count: they
 * are of other kinds, and would make it look faster or slower than it is.
 */
import {TIMES} from './defaults.js';

/** A moving average of answer times. */
export interface AnswerTime {
  readonly meanMs: number;
  /** When the last answer came, in monotonic milliseconds. */
  readonly at: number;
}

/** The state before the first answer. */
export const NO_ANSWERS: AnswerTime = {
  meanMs: TIMES.initialAnswerMs,
  at: -Infinity,
};

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.15;
/**
 * Time without answers in which what is known loses half of its weight, in
 * milliseconds: an endpoint that was slow is tried again.
 */
const HALF_LIFE_MS = 2000;

/** Expected time of a read at `now`, in milliseconds. */
export function expectedMs({meanMs, at}: AnswerTime, now: number): number {
  const weight = 0.5 ** ((now - at) / HALF_LIFE_MS);
  return TIMES.initialAnswerMs + (meanMs - TIMES.initialAnswerMs) * weight;
}

/** The state after a read that took `tookMs`. */
export function afterAnswer(
  known: AnswerTime,
  tookMs: number,
  now: number,
): AnswerTime {
  const before = expectedMs(known, now);
  return {meanMs: before + (tookMs - before) * SAMPLE_WEIGHT, at: now};
}
