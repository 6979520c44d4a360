/** Interprets a state chart that is kept in a JSON file. */
import {readFileSync} from 'node:fs';
import {type AnyStateMachine, createMachine, transition} from 'xstate';

/** A state chart as a transition function. */
export interface Chart<State extends string, Event extends string> {
  readonly initial: State;
  /** The state after an event; the same state when the event has no effect. */
  next(state: State, event: Event): State;
}

/** Reads the chart in `charts/<name>.json` of this package. */
export function readChart<State extends string, Event extends string>(
  name: string,
): Chart<State, Event> {
  const url = new URL(`../../charts/${name}.json`, import.meta.url);
  const machine: AnyStateMachine = createMachine(
    JSON.parse(readFileSync(url, 'utf8')),
  );
  return {
    initial: machine.config.initial as State,
    next(state, event) {
      const snapshot = machine.resolveState({value: state, context: {}});
      const [after] = transition(machine, snapshot, {type: event});
      return after.value as State;
    },
  };
}
