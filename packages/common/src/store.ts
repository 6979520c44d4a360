/** Groups disposables that are released together. */
import type {Disposable} from './clock.js';

/** Owns disposables and disposes them in reverse order of addition. */
export interface DisposableStore extends Disposable {
  /** Takes ownership; disposes `item` at once if the store is disposed. */
  add<T extends Disposable>(item: T): T;
  /** True once `dispose` was called. */
  readonly disposed: boolean;
}

/** Creates an empty store. */
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
