/** What a feed needs and offers. */
import type {Clock, Disposable} from '@quetzalreel/common';
import type {KindEvent, KindObject, KindStore} from '@quetzalreel/object-store';
import type {FactMessage} from './messages.js';
import type {PreferenceOf, ReaderLimits} from './reader-role.js';

/** A kind to follow. */
export interface FollowedKind {
  readonly kind: string;
  /** Duration of one watch, in milliseconds. */
  readonly watchMs: number;
  /**
   * Returns what is used of an object, with its name and revision: that alone is
   * kept and passed on. Anyone may have written the object, and a peer of another
   * build may have passed it on whole.
   */
  readonly usedPart: (object: KindObject) => KindObject;
  /** Called with the events that changed the copy. */
  readonly onEvents: (events: readonly KindEvent[]) => void;
  /**
   * Called when the store begins or ceases to answer the readers. `forMs` is
   * for how long it has answered.
   */
  readonly onReach: (isReached: boolean, forMs: number) => void;
}

/** Times of a feed, in milliseconds. */
export interface FeedTimes {
  /** Interval between the beats of a reader. */
  readonly beatMs: number;
  /**
   * How long an instance that starts waits until it knows its links before it
   * reads the store itself.
   */
  readonly firstReadMs: number;
  /** How long it waits for a copy from them. */
  readonly firstCopyMs: number;
  /** How long it waits if it has no links. */
  readonly firstAloneMs: number;
  /** How long a change that a beat shows may be on its way. */
  readonly lateMs: number;
}

/** An event for the log. */
export interface FeedEvent {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** Dependencies of a feed. */
export interface FeedContext {
  readonly instance: string;
  readonly clock: Clock;
  readonly store: KindStore;
  readonly kinds: readonly FollowedKind[];
  readonly times: FeedTimes;
  readonly limits: () => ReaderLimits;
  readonly preferenceOf: PreferenceOf;
  /** Number of suspensions of this process so far. */
  readonly suspensions: () => number;
  /** Distinguishes this life of the instance from earlier ones. */
  readonly life: number;
  /**
   * Addresses of the linked instances, `host:port`; undefined until the list of
   * instances was read.
   */
  readonly links: () => readonly string[] | undefined;
  /** Sends a message to addresses; it may be lost. */
  readonly send: (addresses: readonly string[], message: FeedMessage) => void;
  readonly onEvent: (event: FeedEvent) => void;
}

/** A message without its sender. */
export type FeedMessage = FactMessage extends infer M
  ? M extends FactMessage
    ? Omit<M, 'from'>
    : never
  : never;

/** Number of objects that a copy keeps. */
export interface KeptObjects {
  readonly kind: string;
  readonly readable: number;
  /** Objects that can't be used. */
  readonly unreadable: number;
  /** Such objects that were not kept after the last change, as there are many. */
  readonly passedOver: number;
}

/** A running feed. */
export interface Feed extends Disposable {
  receive(message: FactMessage): void;
  /**
   * Compares copies with a linked instance whose link was lost: messages in both
   * directions may not have arrived.
   */
  noteLinkLost(address: string): void;
  /** Runs the periodic work. */
  tick(): void;
  /**
   * Whether the store answers this instance or a reader that it hears, for a
   * kind.
   */
  isReached(kind: string): boolean;
  /** What the copies keep, by kind; counted at each call. */
  keptObjects(): readonly KeptObjects[];
}
