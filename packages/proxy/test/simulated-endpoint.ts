/**
 * Endpoints of one group on a simulated clock, for tests: slots, a bounded
 * queue, connections that take a slot while they open, and replicas that lag.
 */
import type {Clock} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  type EndpointAddress,
  EndpointConnection,
  EndpointDriver,
  type EndpointRequest,
  ErrorCode,
  SessionState,
  localAnswer,
  localError,
} from '@quetzalreel/requests';
import type {Position} from '@quetzalreel/position';
import {pendingCalls} from './pending-calls.js';

/** Properties of the endpoints. Times are in milliseconds. */
export interface EndpointTraits {
  readonly slots: number;
  /** Statements that may wait for a slot; others are refused as busy. */
  readonly queueLength: number;
  /** Time for which a new connection takes a slot. */
  readonly openingMs: number;
  readonly maxConnections: number;
  readonly lagMs: number;
  /** One way between an instance and an endpoint. */
  readonly transitMs: number;
}

/** A disturbance of one endpoint. Times are in milliseconds. */
export interface EndpointFault {
  readonly endpoint: string;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Factor on the work of statements that start meanwhile. */
  readonly slowFactor?: number;
  /** Share of the statements that are answered with FAILED at once. */
  readonly failingShare?: number;
  /** Whether its process is gone; it starts again at the end. */
  readonly isGone?: boolean;
}

/** One endpoint, with what happened at it. */
export interface SimulatedEndpoint {
  readonly id: string;
  readonly isPrimary: boolean;
  /** Statements received and not answered. */
  inFlight: number;
  ran: number;
  refused: number;
  /** Statements that it answered with FAILED. */
  failed: number;
  opened: number;
  connections: number;
  /** Statements that ran although their connection was closed meanwhile. */
  ranForNobody: number;
}

interface Task {
  readonly ms: number;
  readonly isWanted: () => boolean;
  readonly done: () => void;
}

/** Work of a statement in milliseconds, from its text `READ 18`. */
function workOf(text: string): number {
  return Number(text.split(' ')[1]);
}

/** Calls `run` at its first call only. */
function onceOnly(run: () => void): () => void {
  let isDone = false;
  return () => {
    if (!isDone) run();
    isDone = true;
  };
}

/** The endpoints of one group; the first one is the primary. */
export interface SimulatedGroup {
  readonly endpoints: readonly SimulatedEndpoint[];
  readonly driver: EndpointDriver;
}

/**
 * Creates a group of endpoints with these ids. `faults` hold from and until
 * times of the clock.
 */
export function simulatedGroup(
  clock: Clock,
  ids: readonly string[],
  traits: EndpointTraits,
  faults: readonly EndpointFault[] = [],
  chance: () => number = () => 1,
): SimulatedGroup {
  /** When each commit was made. */
  const commits: number[] = [];

  function positionOf({isPrimary}: SimulatedEndpoint): Position {
    let offset = commits.length;
    const appliedUntil = clock.now() - traits.lagMs;
    while (!isPrimary && offset > 0 && commits[offset - 1]! > appliedUntil) {
      offset--;
    }
    return {term: 1, offset};
  }

  /** The faults of an endpoint that hold now. */
  function faultsOf(id: string): readonly EndpointFault[] {
    const now = clock.now();
    return faults.filter(
      ({endpoint, fromMs, untilMs}) =>
        endpoint === id && now >= fromMs && now < untilMs,
    );
  }

  function isGone(id: string): boolean {
    return faultsOf(id).some(fault => fault.isGone);
  }

  function isFailing(id: string): boolean {
    return faultsOf(id).some(
      ({failingShare}) => failingShare !== undefined && chance() < failingShare,
    );
  }

  function slowness(id: string): number {
    let factor = 1;
    for (const {slowFactor} of faultsOf(id)) factor *= slowFactor ?? 1;
    return factor;
  }

  const parts = new Map(
    ids.map((id, i) => [id, endpointParts(id, i === 0)] as const),
  );

  function endpointParts(id: string, isPrimary: boolean) {
    const endpoint: SimulatedEndpoint = {
      id,
      isPrimary,
      inFlight: 0,
      ran: 0,
      refused: 0,
      failed: 0,
      opened: 0,
      connections: 0,
      ranForNobody: 0,
    };
    const waiting: Task[] = [];
    const connections = new Set<EndpointConnection>();
    let busy = 0;

    function startNext(): void {
      while (busy < traits.slots && waiting.length > 0) {
        const task = waiting.shift()!;
        if (!task.isWanted()) continue;
        busy++;
        clock.after(task.ms * slowness(id), () => {
          busy--;
          task.done();
          startNext();
        });
      }
    }

    for (const fault of faults) {
      if (fault.endpoint !== id || !fault.isGone) continue;
      clock.after(fault.fromMs - clock.now(), () => {
        waiting.length = 0;
        for (const connection of [...connections]) connection.dispose();
      });
    }

    return {
      endpoint,
      connections,
      isFull: () =>
        busy >= traits.slots && waiting.length >= traits.queueLength,
      add(task: Task) {
        waiting.push(task);
        startNext();
      },
    };
  }

  class SimulatedConnection extends EndpointConnection {
    openPosition: Position | undefined;
    private state: SessionState = SessionState.Idle;
    private wrote = false;
    private last: Promise<unknown> = Promise.resolve();
    private readonly calls = pendingCalls();

    constructor(
      readonly endpoint: string,
      private readonly part: ReturnType<typeof endpointParts>,
    ) {
      super();
      part.endpoint.connections++;
      part.connections.add(this);
    }

    get isOpen(): boolean {
      return this.calls.isOpen;
    }

    send(req: EndpointRequest): Promise<Answer> {
      const before = this.last;
      const answer = new Promise<Answer>((resolve, reject) => {
        if (!this.isOpen) {
          reject(this.lostError());
          return;
        }
        this.calls.add(reject);
        clock.after(traits.transitMs, () => {
          void before.then(() =>
            this.serve(req, answered => {
              clock.after(traits.transitMs, () => {
                this.calls.remove(reject);
                resolve(answered);
              });
            }),
          );
        });
      });
      this.last = answer.catch(() => {});
      return answer;
    }

    private lostError(): Error {
      const wasReset = isGone(this.endpoint);
      return new ConnectionLostError(this.endpoint, 'closed', wasReset);
    }

    private refuse(code: ErrorCode, text: string): Answer {
      const position = positionOf(this.part.endpoint);
      return {...localError(code, text, this.state), position};
    }

    private serve(req: EndpointRequest, answer: (a: Answer) => void): void {
      if (!this.isOpen) return;
      const {endpoint} = this.part;
      if (req.type === 'begin') {
        if (!req.readOnly && !endpoint.isPrimary) {
          answer(this.refuse(ErrorCode.ReadOnly, this.endpoint));
          return;
        }
        this.state = SessionState.Open;
      }
      if (req.type === 'rollback') this.state = SessionState.Idle;
      if (req.type !== 'forward') {
        const position = positionOf(endpoint);
        answer({...localAnswer(this.state), position});
        return;
      }
      if (req.atLeast && positionOf(endpoint).offset < req.atLeast.offset) {
        answer(this.refuse(ErrorCode.Behind, this.endpoint));
        return;
      }
      if (isFailing(this.endpoint)) {
        endpoint.failed++;
        answer(this.refuse(ErrorCode.Failed, this.endpoint));
        return;
      }
      if (this.part.isFull()) {
        endpoint.refused++;
        answer(this.refuse(ErrorCode.Busy, this.endpoint));
        return;
      }
      endpoint.inFlight++;
      const settled = onceOnly(() => endpoint.inFlight--);
      this.onClose(settled);
      this.part.add({
        ms: workOf(req.text),
        isWanted: () => this.isOpen,
        done: () => {
          settled();
          endpoint.ran++;
          if (!this.isOpen) {
            endpoint.ranForNobody++;
            return;
          }
          this.apply(req.text);
          const position = positionOf(endpoint);
          const done = {...localAnswer(this.state), position, signature: 's'};
          answer(done);
        },
      });
    }

    private apply(text: string): void {
      const isCommit = text.startsWith('COMMIT');
      const isWrite = text.startsWith('WRITE');
      if (isWrite && this.state === SessionState.Open) this.wrote = true;
      else if (isWrite || (isCommit && this.wrote)) commits.push(clock.now());
      if (!isCommit) return;
      this.wrote = false;
      this.state = SessionState.Idle;
    }

    onClose(callback: () => void): void {
      this.calls.onClose(callback);
    }

    dispose(): void {
      if (!this.calls.end(this.lostError())) return;
      this.part.endpoint.connections--;
      this.part.connections.delete(this);
    }
  }

  class SimulatedDriver extends EndpointDriver {
    connect({id}: EndpointAddress): Promise<EndpointConnection> {
      const part = parts.get(id)!;
      if (isGone(id))
        return Promise.reject(new ConnectionLostError(id, 'gone', true));
      part.endpoint.opened++;
      return new Promise((resolve, reject) => {
        if (part.endpoint.connections >= traits.maxConnections) {
          reject(new ConnectionLostError(id, 'connection limit', true));
          return;
        }
        const connection = new SimulatedConnection(id, part);
        part.add({
          ms: traits.openingMs,
          isWanted: () => true,
          done: () => {
            connection.openPosition = positionOf(part.endpoint);
            clock.after(2 * traits.transitMs, () => resolve(connection));
          },
        });
      });
    }
  }

  return {
    endpoints: [...parts.values()].map(({endpoint}) => endpoint),
    driver: new SimulatedDriver(),
  };
}
