/**
 * Log positions that a group's primary has confirmed, in answers to this
 * instance or, when there are none, as reported by peers.
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

/** Dependencies of confirmed positions. */
export interface PositionContext {
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly suspensionDetector: SuspensionDetector;
  /** Requests the confirmed positions of peers. */
  readonly askPeers: () => void;
}

/** A position and the time since the primary was asked, in milliseconds. */
export interface AgedPosition {
  readonly position: Position;
  readonly ageMs: number;
}

/** The confirmed positions of one group. */
export interface ConfirmedPositions {
  /**
   * The position that a log must have reached; without a suitable sample
   * returns undefined and asks peers.
   */
  requiredPosition(
    maxStalenessMs: number,
    floor: Position | undefined,
  ): Position | undefined;
  /** The same, without asking peers. */
  knownRequiredPosition: ConfirmedPositions['requiredPosition'];
  /** Age of the newest sample in milliseconds; Infinity without one. */
  age(): number;
  /** Adds a sample from an answer of the primary to this instance. */
  addOwn(sample: Sample): void;
  /**
   * Adds a sample from a peer; returns false when it is not newer or not
   * usable.
   */
  addFromPeer(sample: Sample): boolean;
  /**
   * The newest position that the primary confirmed to this instance directly.
   */
  own(): AgedPosition | undefined;
}

/** Starts without confirmed positions. */
export function confirmedPositions(
  context: PositionContext,
): ConfirmedPositions {
  const {clock, log, name, suspensionDetector: guard, askPeers} = context;
  let own: Sample | undefined;
  let askedPeersAt = -Infinity;
  const samples = trustedSamples(
    guard,
    () => clock.now(),
    () => {
      own = undefined;
      log.warn({event: 'clocksApart', group: name});
    },
  );

  function askPeersIfDue(): void {
    const now = clock.now();
    if (now - askedPeersAt <= TIMES.requestConfirmedIntervalMs) return;
    askedPeersAt = now;
    askPeers();
  }

  return {
    requiredPosition(maxStalenessMs, floor) {
      const found = samples.requiredPosition(maxStalenessMs, floor);
      if (!found) askPeersIfDue();
      return found;
    },
    knownRequiredPosition: samples.requiredPosition,
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
      // Reading the samples first drops an own sample that has become invalid.
      if (!samples.newest() || !own) return undefined;
      const {sentAt, position} = own;
      return {position, ageMs: clock.now() - sentAt};
    },
  };
}
