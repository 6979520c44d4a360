/** What a feed knows of one kind that it follows. */
import type {FollowedKind} from './feed-types.js';
import type {KindCopy} from './kind-copy.js';
import type {KindReader} from './kind-reader.js';

/** The state of one kind. */
export interface KindState {
  readonly followed: FollowedKind;
  reader: KindReader;
  copy: KindCopy | undefined;
  /** Unreadable objects that the last change brought and that are not kept. */
  passedOver: number;
  /** Since when the store answers this instance; undefined while it does not. */
  ownReachedSince: number | undefined;
  isReached: boolean | undefined;
  /** Since when a beat shows a newer copy than this one. */
  behindSince: number | undefined;
  /** Peers that asked for a copy when there was none. */
  readonly waiting: Set<string>;
}

/** Where a delta came from. */
export interface DeltaSource {
  /** Address of the instance that sent it; undefined if it was read. */
  readonly from: string | undefined;
  /** Time from the call that read it to the answer, in milliseconds. */
  readonly askedMs?: number;
}
