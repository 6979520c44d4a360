/** One feed of one kind without a store, for tests of what peers send it. */
import {manualClock} from '@quetzalreel/common';
import {KindStore, StoreUnavailableError} from '@quetzalreel/object-store';
import {
  type Feed,
  type FeedContext,
  type FollowedKind,
  startFeed,
} from '../src/index.js';

/** The kind that the feed follows. */
export const KIND = 'k';

/** A store that answers no call. */
class AbsentStore extends KindStore {
  private unavailable(): Promise<never> {
    return Promise.reject(new StoreUnavailableError('away', true));
  }
  list = () => this.unavailable();
  get = () => this.unavailable();
  create = () => this.unavailable();
  replace = () => this.unavailable();
  remove = () => this.unavailable();
  watch = () => this.unavailable();
}

/** What a test observes or decides; the defaults do nothing. */
export interface SingleFeedOptions {
  readonly usedPart?: FollowedKind['usedPart'];
  readonly onEvents?: FollowedKind['onEvents'];
  readonly links?: readonly string[];
  readonly send?: FeedContext['send'];
  readonly onEvent?: FeedContext['onEvent'];
}

/** Starts a feed on a clock that stands still. */
export function singleFeed({
  usedPart = object => object,
  onEvents = () => {},
  links = [],
  send = () => {},
  onEvent = () => {},
}: SingleFeedOptions): Feed {
  return startFeed({
    instance: 'self',
    clock: manualClock(),
    store: new AbsentStore(),
    kinds: [{kind: KIND, watchMs: 1000, usedPart, onEvents, onReach: () => {}}],
    times: {
      beatMs: 1000,
      firstReadMs: 100,
      firstCopyMs: 100,
      firstAloneMs: 100,
      lateMs: 100,
    },
    limits: () => ({readers: 2, mostReaders: 8, heardMs: 2000, spreadMs: 500}),
    preferenceOf: () => 0.5,
    suspensions: () => 0,
    life: 1,
    links: () => links,
    send,
    onEvent,
  });
}
