/**
 * The positions that a group's primary has confirmed: by answers to this
 * instance, and by what other instances tell when this one has none.
 */
import type {Clock} from '@quetzalreel/common';
import {
  type Sample,
  type SuspensionDetector,
  trustedSamples,
} from '@quetzalreel/freshness';
import type {Position} from '@quetzalreel/position';
import {TIMES} from './defaults.js';
import type {Log} from './log.js';

/** What confirmed positions work with. */
export interface PositionContext {
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly guard: SuspensionDetector;
  /** Asks other instances for a position that they have confirmed. */
  readonly askPeers: () => void;
}

/** A position and how long ago the primary was asked, in milliseconds. */
export interface AgedPosition {
  readonly position: Position;
  readonly ageMs: number;
}

/** Confirmed positions of one group. */
export interface ConfirmedPositions {
  /** What a log must hold; undefined when no sample tells, and then others
   * are asked. */
  required(
    maxStalenessMs: number,
    floor: Position | undefined,
  ): Position | undefined;
  /** Age of the newest sample in milliseconds; Infinity without one. */
  age(): number;
  /** Notes what the primary answered to this instance. */
  addOwn(sample: Sample): void;
  /** Notes what another instance told; false when it is of no use. */
  addFromPeer(sample: Sample): boolean;
  /** The newest position that this instance was told by the primary. */
  own(): AgedPosition | undefined;
}

/** No position is confirmed yet. */
export function confirmedPositions(
  context: PositionContext,
): ConfirmedPositions {
  const {clock, log, name, guard, askPeers: askOthers} = context;
  let own: Sample | undefined;
  let askedOthersAt = -Infinity;
  const samples = trustedSamples(
    guard,
    () => clock.now(),
    () => {
      own = undefined;
      log.warn({event: 'clocksApart', group: name});
    },
  );

  function askSometimes(): void {
    const now = clock.now();
    if (now - askedOthersAt <= TIMES.requestConfirmedIntervalMs) return;
    askedOthersAt = now;
    askOthers();
  }

  return {
    required(maxStalenessMs, floor) {
      const found = samples.required(maxStalenessMs, floor);
      if (!found) askSometimes();
      return found;
    },
    age: () => samples.age(),
    addOwn(sample) {
      if (samples.add(sample)) own = sample;
    },
    addFromPeer(sample) {
      const newest = samples.newest();
      if (newest && newest.sentAt >= sample.sentAt) return false;
      return samples.add(sample);
    },
    own() {
      // Looking at the samples first drops an own one that became void.
      if (!samples.newest() || !own) return undefined;
      const {sentAt, position} = own;
      return {position, ageMs: clock.now() - sentAt};
    },
  };
}
