/** Messages between instances: questions, and answers to them. */

import type {Position} from '@quetzalreel/position';

/** What every message carries. */
interface Envelope {
  /** Address of the sender, `host:port`. */
  readonly from: string;
  /** Number of the question, in the asker's count. */
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
        /** The sender's relay, `host:port`, for those that don't reach it. */
        readonly relay: string;
      }
    /** Asks for a position that the group's primary has confirmed. */
    | {readonly type: 'confirmedPosition'; readonly group: string}
    | {
        readonly type: 'confirmed';
        readonly group: string;
        readonly endpoint: string;
        readonly position: Position;
        /** How long before the answer the primary was asked, milliseconds. */
        readonly ageMs: number;
      }
    /** Asks for the configuration if it is above `generation`. */
    | {readonly type: 'configurationAbove'; readonly generation: number}
    | {
        readonly type: 'configuration';
        readonly generation: number;
        /** As the store spells it; undefined when there is no higher one. */
        readonly value: unknown;
      }
  );

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
};

function isPosition(value: unknown): value is Position {
  if (typeof value !== 'object' || value === null) return false;
  const {term, offset} = value as Partial<Position>;
  return Number.isInteger(term) && Number.isInteger(offset);
}

/** Whether a decoded value is a message. */
export function isPeerQueryMessage(value: unknown): value is PeerQueryMessage {
  if (typeof value !== 'object' || value === null) return false;
  const message = value as Record<string, unknown>;
  if (typeof message['from'] !== 'string') return false;
  if (typeof message['seq'] !== 'number') return false;
  const type = message['type'];
  if (typeof type !== 'string' || !Object.hasOwn(CHECKS, type)) return false;
  return CHECKS[type as PeerQueryMessage['type']](message);
}
