/**
 * A first-in, first-out list as an immutable value. Adding at the end and
 * taking from the front cost a fixed time on average, however long it is.
 */

interface Link<Item> {
  readonly item: Item;
  readonly next: Link<Item> | undefined;
}

/** Items in the order of their arrival. */
export interface Fifo<Item> {
  readonly length: number;
  /** Items to be taken next, the first first. */
  readonly front: Link<Item> | undefined;
  /** Items added since, the last first. */
  readonly back: Link<Item> | undefined;
}

const EMPTY: Fifo<never> = {length: 0, front: undefined, back: undefined};

/** A list with nothing in it. */
export function emptyFifo<Item>(): Fifo<Item> {
  return EMPTY;
}

/** The list with an item more at its end. */
export function append<Item>(list: Fifo<Item>, item: Item): Fifo<Item> {
  const length = list.length + 1;
  if (!list.front) {
    return {length, front: {item, next: undefined}, back: undefined};
  }
  return {length, front: list.front, back: {item, next: list.back}};
}

/** The first item; undefined when there is none. */
export function firstOf<Item>(list: Fifo<Item>): Item | undefined {
  return list.front?.item;
}

/** The list without its first item. */
export function rest<Item>(list: Fifo<Item>): Fifo<Item> {
  if (list.length <= 1) return EMPTY;
  const length = list.length - 1;
  const next = list.front!.next;
  if (next) return {length, front: next, back: list.back};
  return {length, front: reversed(list.back), back: undefined};
}

function reversed<Item>(list: Link<Item> | undefined): Link<Item> | undefined {
  let result: Link<Item> | undefined;
  for (let link = list; link; link = link.next) {
    result = {item: link.item, next: result};
  }
  return result;
}

/** The items in order. */
export function* itemsOf<Item>(list: Fifo<Item>): Generator<Item> {
  for (let link = list.front; link; link = link.next) yield link.item;
  for (let link = reversed(list.back); link; link = link.next) yield link.item;
}

/** A list of the given items. */
export function fifoOf<Item>(items: Iterable<Item>): Fifo<Item> {
  let list = emptyFifo<Item>();
  for (const item of items) list = append(list, item);
  return list;
}
