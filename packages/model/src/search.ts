/** Breadth-first search of a state space given by a transition function. */

/** A named step and the state that it leads to. */
export interface ModelStep<S> {
  readonly name: string;
  readonly state: S;
}

/** A broken invariant and a trace to it. */
export interface Violation {
  readonly invariant: string;
  /** Names of the steps from the initial state. */
  readonly trace: readonly string[];
}

/** Result of a search. */
export interface Exploration {
  readonly states: number;
  /** Whether every reachable state was visited. */
  readonly complete: boolean;
  readonly violation: Violation | undefined;
}

interface Node<S> {
  readonly state: S;
  readonly step: string;
  readonly parent: Node<S> | undefined;
}

/**
 * Searches breadth-first from `first` until an invariant is broken, every state
 * was reached, or `maxStates` were. The trace of a violation is a shortest one.
 */
export function search<S extends {readonly broken: string | null}>(
  first: S,
  stepsFrom: (state: S) => ReadonlyArray<ModelStep<S>>,
  maxStates: number,
): Exploration {
  const seen = new Set([JSON.stringify(first)]);
  let level: Array<Node<S>> = [{state: first, step: '', parent: undefined}];
  while (level.length > 0) {
    const next: Array<Node<S>> = [];
    for (const node of level) {
      for (const {name, state} of stepsFrom(node.state)) {
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

function traceOf<S>(node: Node<S>): string[] {
  const trace: string[] = [];
  for (let at: Node<S> | undefined = node; at?.parent; at = at.parent) {
    trace.unshift(at.step);
  }
  return trace;
}
