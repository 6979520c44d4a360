/** Ownership: a store gathers what has to be released together. */
import type {Disposable} from './clock.js';

/** Owns disposables and releases them together, the last one added first. */
export interface DisposableStore extends Disposable {
  /** Takes ownership; released at once when the store already is. */
  add<T extends Disposable>(item: T): T;
  /** True once `dispose` was called. */
  readonly disposed: boolean;
}

/** An empty store. */
export function disposableStore(): DisposableStore {
  let items: Disposable[] = [];
  let disposed = false;
  return {
    get disposed() {
      return disposed;
    },
    add(item) {
      if (disposed) item.dispose();
      else items.push(item);
      return item;
    },
    dispose() {
      disposed = true;
      const owned = items.reverse();
      items = [];
      for (const item of owned) item.dispose();
    },
  };
}
