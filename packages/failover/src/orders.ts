/** Promotion orders, which make an endpoint the primary of its group. */

/** Result of an order. */
export const OrderResult = {
  /** It is being executed, or was executed before. */
  Accepted: 'accepted',
  /** A higher fence was seen before, or the endpoint is not running. */
  Refused: 'refused',
  /** Nothing was done; the order may be retried. */
  NotDone: 'notDone',
  /** No response: it may have been executed, or may be seconds later. */
  Unanswered: 'unanswered',
} as const;

/** One of the values of `OrderResult`. */
export type OrderResult = (typeof OrderResult)[keyof typeof OrderResult];

/** A promotion order with its fence. */
export interface PromotionOrder {
  readonly group: string;
  /** The endpoint that becomes the primary. */
  readonly endpoint: string;
  /** The instance that holds the lease. */
  readonly holder: string;
  /** Increases with each change of the holder and with each change of primary
   * that a holder orders; a fence below the highest one seen is refused. */
  readonly fence: number;
}

/** Sends promotion orders; the receiver checks the fence. */
export abstract class PromotionOrders {
  abstract send(order: PromotionOrder): Promise<OrderResult>;
}
