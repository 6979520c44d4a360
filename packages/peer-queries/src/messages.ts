/** Messages between instances: queries, and the answers to them. */

import {type ChangeRecord, isChangeRecord} from '@quetzalreel/failover';
import {type Position, isPosition} from '@quetzalreel/position';

/** Fields of every message. */
interface Envelope {
  /** Address of the sender, `host:port`. */
  readonly from: string;
  /** Sequence number of the query, assigned by the requester. */
  readonly seq: number;
}

/** A message between instances. */
export type PeerQueryMessage = Envelope &
  (
    | {
        readonly type: 'reaches';
        readonly group: string;
        readonly endpoint: string;
      }
    | {
        readonly type: 'reached';
        readonly isReached: boolean;
        /** The sender's relay, `host:port`, to reach the endpoint through. */
        readonly relay: string;
      }
    /** Asks for a position reported by the group's primary. */
    | {readonly type: 'confirmedPosition'; readonly group: string}
    | {
        readonly type: 'confirmed';
        readonly group: string;
        readonly endpoint: string;
        readonly position: Position;
        /** Age of `position` when this answer is sent, since the primary was
         * asked, in milliseconds. */
        readonly ageMs: number;
      }
    /** Asks for the configuration if it is above `generation`. */
    | {readonly type: 'configurationAbove'; readonly generation: number}
    | {
        readonly type: 'configuration';
        readonly generation: number;
        /** In the store's format; undefined if there is no higher one. */
        readonly value: unknown;
      }
    /** Asks a witness to confirm the sender's change records. */
    | {
        readonly type: 'changesWanted';
        readonly instance: string;
        readonly digest: number;
      }
    | {
        readonly type: 'changes';
        /** The witness's records; undefined if the digests are equal. */
        readonly changes: readonly ChangeRecord[] | undefined;
      }
    /** Announces a change before it is ordered. */
    | {
        readonly type: 'changeAnnounced';
        readonly instance: string;
        readonly change: ChangeRecord;
      }
    | {
        readonly type: 'changeNoted';
        readonly instance: string;
        /** The highest fence that the sender knows. */
        readonly fence: number;
        /** Instances whose records the sender confirmed a short time ago. */
        readonly renewed: readonly string[];
      }
    /** Asks for the time of the last order, after a restore of the store. */
    | {readonly type: 'lastOrderWanted'; readonly era: number}
    | {
        readonly type: 'lastOrder';
        /** Time since the sender's last order in ms; undefined for none. */
        readonly msAgo: number | undefined;
      }
  );

/** A message about changes of primary. */
export type ChangeMessage = Extract<
  PeerQueryMessage,
  {
    readonly type:
      | 'changesWanted'
      | 'changes'
      | 'changeAnnounced'
      | 'changeNoted'
      | 'lastOrderWanted'
      | 'lastOrder';
  }
>;

type Checks = {
  readonly [T in PeerQueryMessage['type']]: (
    message: Readonly<Record<string, unknown>>,
  ) => boolean;
};

const CHECKS: Checks = {
  reaches: ({group, endpoint}) =>
    typeof group === 'string' && typeof endpoint === 'string',
  reached: ({isReached, relay}) =>
    typeof isReached === 'boolean' && typeof relay === 'string',
  confirmedPosition: ({group}) => typeof group === 'string',
  confirmed: ({group, endpoint, position, ageMs}) =>
    typeof group === 'string' &&
    typeof endpoint === 'string' &&
    isPosition(position) &&
    typeof ageMs === 'number' &&
    ageMs >= 0,
  configurationAbove: ({generation}) => typeof generation === 'number',
  configuration: ({generation}) => typeof generation === 'number',
  changesWanted: ({instance, digest}) =>
    typeof instance === 'string' && typeof digest === 'number',
  changes: ({changes}) =>
    changes === undefined ||
    (Array.isArray(changes) && changes.every(isChangeRecord)),
  changeAnnounced: ({instance, change}) =>
    typeof instance === 'string' && isChangeRecord(change),
  changeNoted: ({instance, fence, renewed}) =>
    typeof instance === 'string' &&
    Number.isSafeInteger(fence) &&
    Array.isArray(renewed) &&
    renewed.every(name => typeof name === 'string'),
  lastOrderWanted: ({era}) => Number.isSafeInteger(era),
  lastOrder: ({msAgo}) =>
    msAgo === undefined || (typeof msAgo === 'number' && msAgo >= 0),
};

/** Whether a message is of one of these types, valid or not. */
export function hasPeerQueryType(message: object): boolean {
  const {type} = message as {readonly type?: unknown};
  return typeof type === 'string' && Object.hasOwn(CHECKS, type);
}

/** Whether a decoded value is a valid message. */
export function isPeerQueryMessage(value: unknown): value is PeerQueryMessage {
  if (typeof value !== 'object' || value === null) return false;
  const message = value as Record<string, unknown>;
  if (typeof message['from'] !== 'string') return false;
  if (typeof message['seq'] !== 'number') return false;
  const type = message['type'];
  if (typeof type !== 'string' || !Object.hasOwn(CHECKS, type)) return false;
  return CHECKS[type as PeerQueryMessage['type']](message);
}
