/** Messages between instances, as the rest of the code sees them. */
import type {Disposable} from '@quetzalreel/common';

/** Counts of a transport since its start. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly sentMessages: number;
  /** Links that are open now. */
  readonly links: number;
}

/**
 * Sends messages of type `M` to addresses `host:port`. Delivery is not
 * certain, and nothing is told of a message that is lost.
 */
export abstract class PeerTransport<M> implements Disposable {
  /** The address that others reach this instance by. */
  abstract readonly address: string;
  abstract readonly traffic: PeerTraffic;
  /** Sends a message, over a new link when there is none. */
  abstract send(address: string, message: M): void;
  /** Closes every link after what was sent has left. */
  abstract dispose(): void;
}
