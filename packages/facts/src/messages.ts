/** Messages that spread facts between linked instances. */
import {type StoreVersion, isRevision} from '@quetzalreel/object-store';
import type {KindDelta} from './kind-copy.js';

/** What a reader reports about its reading of the store. */
export interface ReaderBeat {
  readonly reader: string;
  /** Distinguishes the lives of a reader with the same name. */
  readonly life: number;
  /** Rises with each beat of one life. */
  readonly seq: number;
  /** Time since the beat was sent, in milliseconds, without time in transit. */
  readonly ageMs: number;
  /** Whether the store answers the reader, for each kind. */
  readonly kinds: readonly KindReading[];
}

/** The state of one kind at a reader, with the version of its copy. */
export interface KindReading extends StoreVersion {
  readonly kind: string;
  /** For how long the store has answered; undefined while it does not. */
  readonly reachedMs: number | undefined;
}

/** A message between linked instances. */
export type FactMessage = {
  /** Address of the sender, `host:port`. */
  readonly from: string;
} & (
  | {readonly type: 'readerBeat'; readonly beat: ReaderBeat}
  | {readonly type: 'kindDelta'; readonly delta: KindDelta}
  /** Sent by older builds when nothing else goes back; has no effect. */
  | {readonly type: 'heard'}
  /** Asks for all objects of the kinds of which the receiver knows more. */
  | {readonly type: 'copiesWanted'; readonly known: VersionByKind}
);

/** The version of a copy by kind; 0 for none. */
export type VersionByKind = Readonly<Record<string, StoreVersion>>;

const FACT_TYPES: ReadonlySet<unknown> = new Set<FactMessage['type']>([
  'readerBeat',
  'kindDelta',
  'heard',
  'copiesWanted',
]);

/** Whether a message is about facts, valid or not. */
export function hasFactType(value: unknown): boolean {
  return isRecord(value) && FACT_TYPES.has(value['type']);
}

/** Whether a decoded value is a valid message. */
export function isFactMessage(value: unknown): value is FactMessage {
  if (!isRecord(value) || typeof value['from'] !== 'string') return false;
  switch (value['type']) {
    case 'readerBeat':
      return isBeat(value['beat']);
    case 'kindDelta':
      return isDelta(value['delta']);
    case 'heard':
      return true;
    case 'copiesWanted':
      return (
        isRecord(value['known']) &&
        Object.values(value['known']).every(isVersion)
      );
    default:
      return false;
  }
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isVersion(value: unknown): boolean {
  return (
    isRecord(value) && isRevision(value['era']) && isRevision(value['revision'])
  );
}

function isAge(value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value < Infinity;
}

function isBeat(value: unknown): boolean {
  if (!isRecord(value)) return false;
  const {reader, life, seq, ageMs, kinds} = value;
  return (
    typeof reader === 'string' &&
    typeof life === 'number' &&
    isRevision(seq) &&
    isAge(ageMs) &&
    Array.isArray(kinds) &&
    kinds.every(isReading)
  );
}

function isReading(value: unknown): boolean {
  if (!isRecord(value)) return false;
  const {kind, reachedMs} = value;
  return (
    typeof kind === 'string' &&
    isVersion(value) &&
    (reachedMs === undefined || isAge(reachedMs))
  );
}

function isDelta(value: unknown): boolean {
  if (!isRecord(value)) return false;
  const {kind, since, events} = value;
  return (
    typeof kind === 'string' &&
    isRevision(since) &&
    isVersion(value) &&
    Array.isArray(events) &&
    events.every(isEvent)
  );
}

function isEvent(value: unknown): boolean {
  if (!isRecord(value) || typeof value['deleted'] !== 'boolean') return false;
  const {object} = value;
  return (
    isRecord(object) &&
    typeof object['name'] === 'string' &&
    isRevision(object['revision'])
  );
}
