/** Orders that make an endpoint the primary of its group. */

/** What became of an order. */
export const OrderResult = {
  /** It is carried out, or was before. */
  Accepted: 'accepted',
  /** A higher fence was seen, or the endpoint is not running. */
  Refused: 'refused',
  /** Nothing was done; it may be sent again. */
  NotDone: 'notDone',
  /** No answer: it may have been carried out, or may be seconds later. */
  Unanswered: 'unanswered',
} as const;

/** One of the values of `OrderResult`. */
export type OrderResult = (typeof OrderResult)[keyof typeof OrderResult];

/** An order under a fence. */
export interface PromotionOrder {
  readonly group: string;
  /** The endpoint that takes over. */
  readonly endpoint: string;
  /** The instance that holds the lease. */
  readonly holder: string;
  /** Rises with each change of the holder and with each change that one
   * holder orders; a lower one than was seen is refused. */
  readonly fence: number;
}

/** Sends orders; checks of the fence are on the other side. */
export abstract class PromotionOrders {
  abstract send(order: PromotionOrder): Promise<OrderResult>;
}
