/**
 * An immutable first-in, first-out list. Appending and removing the first item
 * take amortized constant time.
 */

interface Link<Item> {
  readonly item: Item;
  readonly next: Link<Item> | undefined;
}

/** Items in the order in which they were appended. */
export interface Fifo<Item> {
  readonly length: number;
  /** First items of the list, in order. */
  readonly front: Link<Item> | undefined;
  /** Remaining items, in reverse order. */
  readonly back: Link<Item> | undefined;
}

const EMPTY: Fifo<never> = {length: 0, front: undefined, back: undefined};

/** An empty list. */
export function emptyFifo<Item>(): Fifo<Item> {
  return EMPTY;
}

/** The list with `item` appended. */
export function append<Item>(list: Fifo<Item>, item: Item): Fifo<Item> {
  const length = list.length + 1;
  if (!list.front) {
    return {length, front: {item, next: undefined}, back: undefined};
  }
  return {length, front: list.front, back: {item, next: list.back}};
}

/** The first item; undefined if the list is empty. */
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
