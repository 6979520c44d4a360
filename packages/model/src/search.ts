/** Breadth-first search over a pure transition function. */

/** A step with its name. */
export interface ModelStep<S> {
  readonly name: string;
  readonly state: S;
}

/** A broken invariant and the shortest way to it. */
export interface Violation {
  readonly invariant: string;
  /** Names of the steps. */
  readonly trace: readonly string[];
}

/** What a search found. */
export interface Exploration {
  readonly states: number;
  /** False when the search stopped at its limit. */
  readonly complete: boolean;
  readonly violation: Violation | undefined;
}

interface Node<S> {
  readonly state: S;
  readonly step: string;
  readonly parent: Node<S> | undefined;
}

/** Searches from `first` until a violation, the end, or `maxStates`. */
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
