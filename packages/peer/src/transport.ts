/** Interface of the transport of messages between instances. */
import type {Disposable} from '@quetzalreel/common';

/** Traffic of a transport since its start. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly sentMessages: number;
  /** Number of links (connections to peers) that are open now. */
  readonly links: number;
}

/**
 * Sends messages of type `M` to addresses `host:port`. Delivery is not
 * guaranteed, and the loss of a message is not reported.
 */
export abstract class PeerTransport<M> implements Disposable {
  /** The address at which peers reach this instance. */
  abstract readonly address: string;
  abstract readonly traffic: PeerTraffic;
  /** Sends a message; opens a link if there is none to the address. */
  send(address: string, message: M): void {
    this.sendToAll([address], message);
  }
  /** Sends a message to several addresses; encodes it once. */
  abstract sendToAll(addresses: readonly string[], message: M): void;
  /** Closes every link after flushing the messages queued on it. */
  abstract dispose(): void;
}
