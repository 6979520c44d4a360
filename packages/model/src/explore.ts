/** Breadth-first search and random walks over a pure transition function. */
import fc from 'fast-check';
import {type Bounds, type State, initialState, stepsFrom} from './spec.js';

/** What a search found. */
export interface Exploration {
  readonly states: number;
  /** False when the search stopped at its limit. */
  readonly complete: boolean;
  readonly violation: Violation | undefined;
}

/** A broken invariant and the shortest way to it. */
export interface Violation {
  readonly invariant: string;
  /** Names of the steps. */
  readonly trace: readonly string[];
}

interface Node {
  readonly state: State;
  readonly step: string;
  readonly parent: Node | undefined;
}

/** Searches until a violation, the end, or `maxStates`. */
export function explore(bounds: Bounds, maxStates: number): Exploration {
  const first = initialState(bounds);
  const seen = new Set([JSON.stringify(first)]);
  let level: Node[] = [{state: first, step: '', parent: undefined}];
  while (level.length > 0) {
    const next: Node[] = [];
    for (const node of level) {
      for (const {name, state} of stepsFrom(node.state, bounds)) {
        const key = JSON.stringify(state);
        if (seen.has(key)) continue;
        seen.add(key);
        const found = {state, step: name, parent: node};
        if (state.broken) {
          const violation = {invariant: state.broken, trace: traceOf(found)};
          return {states: seen.size, complete: false, violation};
        }
        next.push(found);
      }
      if (seen.size >= maxStates) {
        return {states: seen.size, complete: false, violation: undefined};
      }
    }
    level = next;
  }
  return {states: seen.size, complete: true, violation: undefined};
}

function traceOf(node: Node): string[] {
  const trace: string[] = [];
  for (let at: Node | undefined = node; at?.parent; at = at.parent) {
    trace.unshift(at.step);
  }
  return trace;
}

/** Steps of one random walk. */
const WALK_STEPS = 45;

/** Walks at random, `runs` times; the trace found is shortened. */
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
    const found = follow(bounds, list);
    if (!found) return;
    const isShorter = !shortest || found.trace.length < shortest.trace.length;
    if (isShorter) shortest = found;
    throw new Error(found.invariant);
  });
  fc.check(property, {seed, numRuns: runs, endOnFailure: true});
  return shortest;
}

/** Follows one sequence of choices up to a violation. */
function follow(
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

/** Whether the named steps can be taken in order, and what they break. */
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
