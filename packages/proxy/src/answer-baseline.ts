/**
 * Compares the answer times of one kind of statement at one endpoint with its
 * own times while it is calm. The work of statements varies, and each instance
 * sees only a part of the load, so the comparison uses a moving average and the
 * baseline follows lasting changes of the work.
 */

/** Answer times of one kind of statement. */
export interface AnswerBaseline {
  readonly samples: number;
  /** Moving average of the calm times, in milliseconds. */
  readonly calmMs: number;
  /** Moving average of the last times, in milliseconds. */
  readonly recentMs: number;
  /** Time of the last sample, in monotonic milliseconds. */
  readonly at: number;
}

/** The state before the first sample. */
export const NO_BASELINE: AnswerBaseline = {
  samples: 0,
  calmMs: 0,
  recentMs: 0,
  at: -Infinity,
};

/** Samples of which the first baseline is the mean. */
const FIRST_SAMPLES = 40;
/** Weight of a sample in the average of the last times. */
const RECENT_WEIGHT = 0.1;
/**
 * Time without samples in which the last times lose half of their weight, in
 * milliseconds.
 */
const RECENT_HALF_LIFE_MS = 2000;
/**
 * Time constants with which the baseline follows the recent times, in milliseconds.
 * It rises more slowly than most disturbances last, but does rise, since the work of
 * statements may grow.
 */
const RISE_MS = 60_000;
const FALL_MS = 10_000;
/** Longer gaps between two samples count as this, in milliseconds. */
const MAX_GAP_MS = 1000;

/** Moving average of the last times at `now`, in milliseconds. */
function recentAt({calmMs, recentMs, at}: AnswerBaseline, now: number): number {
  return (
    calmMs + (recentMs - calmMs) * 0.5 ** ((now - at) / RECENT_HALF_LIFE_MS)
  );
}

/** The last times as a multiple of the calm ones; 1 until these are known. */
export function slownessOf(known: AnswerBaseline, now: number): number {
  if (known.samples < FIRST_SAMPLES) return 1;
  return recentAt(known, now) / known.calmMs;
}

/** The state after a sample; `learns` says whether the endpoint is calm. */
export function afterSample(
  known: AnswerBaseline,
  tookMs: number,
  now: number,
  learns: boolean,
): AnswerBaseline {
  const samples = known.samples + 1;
  if (samples <= FIRST_SAMPLES) {
    const meanMs = known.calmMs + (tookMs - known.calmMs) / samples;
    return {samples, calmMs: meanMs, recentMs: meanMs, at: now};
  }
  const before = recentAt(known, now);
  const recentMs = before + (tookMs - before) * RECENT_WEIGHT;
  if (!learns) return {...known, samples, recentMs, at: now};
  const timeConstantMs = recentMs > known.calmMs ? RISE_MS : FALL_MS;
  const gapMs = Math.min(MAX_GAP_MS, now - known.at);
  const weight = 1 - Math.exp(-gapMs / timeConstantMs);
  const calmMs = known.calmMs + (recentMs - known.calmMs) * weight;
  return {samples, calmMs, recentMs, at: now};
}

/**
 * The state after a statement without an answer for `waitedMs`. That is a lower
 * bound of its time, so it is used only if it exceeds the recent times.
 */
export function afterNoAnswer(
  known: AnswerBaseline,
  waitedMs: number,
  now: number,
): AnswerBaseline {
  if (known.samples < FIRST_SAMPLES) return known;
  if (waitedMs <= recentAt(known, now)) return known;
  return afterSample(known, waitedMs, now, false);
}

/** The baseline of an endpoint that starts, without its last times. */
export function baselineOnly({
  samples,
  calmMs,
}: AnswerBaseline): AnswerBaseline {
  return {samples, calmMs, recentMs: calmMs, at: -Infinity};
}
