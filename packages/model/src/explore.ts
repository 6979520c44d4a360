/** Exhaustive search and random walks over the core protocol's model. */
import fc from 'fast-check';
import {type Exploration, type Violation, search} from './search.js';
import {stepsFrom} from './spec.js';
import {type Bounds, initialState} from './state.js';

/**
 * Searches breadth-first until an invariant is broken, every state was reached,
 * or `maxStates` were.
 */
export function explore(bounds: Bounds, maxStates: number): Exploration {
  return search(
    initialState(bounds),
    state => stepsFrom(state, bounds),
    maxStates,
  );
}

/** Number of steps of one random walk. */
const WALK_STEPS = 45;

/** Runs `runs` random walks. Returns the shortest violating trace found. */
export function walk(
  bounds: Bounds,
  seed: number,
  runs: number,
): Violation | undefined {
  const choices = fc.array(fc.nat(), {
    minLength: WALK_STEPS,
    maxLength: WALK_STEPS,
  });
  let shortest: Violation | undefined;
  const property = fc.property(choices, list => {
    const found = takeSteps(bounds, list);
    if (!found) return;
    const isShorter = !shortest || found.trace.length < shortest.trace.length;
    if (isShorter) shortest = found;
    throw new Error(found.invariant);
  });
  fc.check(property, {seed, numRuns: runs, endOnFailure: true});
  return shortest;
}

/** Takes one step per choice until an invariant is broken. */
function takeSteps(
  bounds: Bounds,
  choices: readonly number[],
): Violation | undefined {
  let state = initialState(bounds);
  const trace: string[] = [];
  for (const choice of choices) {
    const steps = stepsFrom(state, bounds);
    const step = steps[choice % steps.length];
    if (!step) return undefined;
    trace.push(step.name);
    state = step.state;
    if (state.broken) return {invariant: state.broken, trace};
  }
  return undefined;
}

/**
 * Takes the named steps in order. Returns how many of them were possible and
 * the invariant that they broke.
 */
export function replay(
  bounds: Bounds,
  trace: readonly string[],
): {readonly taken: number; readonly broken: string | null} {
  let state = initialState(bounds);
  for (const [taken, name] of trace.entries()) {
    const step = stepsFrom(state, bounds).find(item => item.name === name);
    if (!step) return {taken, broken: state.broken};
    state = step.state;
  }
  return {taken: trace.length, broken: state.broken};
}
