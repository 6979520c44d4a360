/** Connections through the relays of other instances, on a simulated clock. */
import type {Clock} from '@quetzalreel/common';
import {
  type Answer,
  ConnectionLostError,
  type EndpointRequest,
} from '@quetzalreel/requests';
import {
  type EndpointObservation,
  type OpenAndRunRequest,
  type RelayAddress,
  RelayDriver,
  RelayLostError,
  type RelayTarget,
  RelayedConnection,
  type ServedConnection,
} from '@quetzalreel/relay';
import {pendingCalls} from './pending-calls.js';

/** One way between two instances, in milliseconds. */
export const TRANSIT_MS = 1;

/** Accepts a requester at the relay with an address. */
export type AcceptRequester = (
  relay: RelayAddress,
  target: RelayTarget,
) => ServedConnection;

/** A connection through another instance of the simulated fleet. */
class SimulatedRelayedConnection extends RelayedConnection {
  private last: Promise<unknown> = Promise.resolve();
  readonly takesOpenAndRun = true;
  private readonly calls = pendingCalls();

  constructor(
    readonly endpoint: string,
    readonly relay: RelayAddress,
    private readonly served: ServedConnection,
    private readonly clock: Clock,
  ) {
    super();
  }

  get isOpen(): boolean {
    return this.calls.isOpen;
  }

  send(req: EndpointRequest): Promise<Answer> {
    return this.call(() => this.served.send(req));
  }

  openAndRun(req: OpenAndRunRequest): Promise<Answer> {
    return this.call(() => this.served.send(req));
  }

  fetchObservation(): Promise<EndpointObservation> {
    return this.call(async () => this.served.observe());
  }

  private call<T>(run: () => Promise<T>): Promise<T> {
    const {clock} = this;
    const before = this.last;
    const result = new Promise<T>((resolve, reject) => {
      if (!this.isOpen) {
        reject(new RelayLostError(this.endpoint, 'closed', false));
        return;
      }
      this.calls.add(reject);
      const settle = (end: () => void) =>
        clock.after(TRANSIT_MS, () => {
          this.calls.remove(reject);
          end();
        });
      clock.after(TRANSIT_MS, () => {
        void before.then(run).then(
          value => settle(() => resolve(value)),
          err => settle(() => this.fail(err, reject)),
        );
      });
    });
    this.last = result.catch(() => {});
    return result;
  }

  private fail(err: Error, reject: (err: Error) => void): void {
    reject(new ConnectionLostError(this.endpoint, err.message, false));
    this.dispose();
  }

  onClose(callback: () => void): void {
    this.calls.onClose(callback);
  }

  dispose(): void {
    const err = new ConnectionLostError(this.endpoint, 'closed', false);
    if (!this.calls.end(err)) return;
    this.clock.after(TRANSIT_MS, () => this.served.dispose());
  }
}

class SimulatedRelayDriver extends RelayDriver {
  constructor(
    private readonly clock: Clock,
    private readonly accept: AcceptRequester,
  ) {
    super();
  }

  async connect(
    via: RelayAddress,
    target: RelayTarget,
  ): Promise<RelayedConnection> {
    const {clock} = this;
    await clock.sleep(2 * TRANSIT_MS);
    const served = this.accept(via, target);
    return new SimulatedRelayedConnection(target.endpoint, via, served, clock);
  }
}

/** Creates the driver of an instance. */
export function simulatedRelayDriver(
  clock: Clock,
  accept: AcceptRequester,
): RelayDriver {
  return new SimulatedRelayDriver(clock, accept);
}
