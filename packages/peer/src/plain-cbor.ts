/**
 * Which CBOR values peers may send: the ones that JSON has, byte strings and
 * undefined. Tags let a short frame stand for a value that is far larger: shared
 * values, packed tables and records. No instance sends any.
 */

/** Upper three bits of the first byte of an item. */
const MajorType = {
  Bytes: 2,
  Text: 3,
  Tag: 6,
} as const;

/** The argument is in the lower five bits up to this. */
const MAX_DIRECT_ARGUMENT = 23;
/** In place of the argument's length: the end of the item is marked. */
const INDEFINITE = 31;

/** Length of the argument that follows the first byte, in bytes. */
const ARGUMENT_BYTES: ReadonlyMap<number, number> = new Map([
  [24, 1],
  [25, 2],
  [26, 4],
  [27, 8],
]);

function argumentOf(bytes: Buffer, at: number, length: number): number {
  if (length === 8) return Number(bytes.readBigUInt64BE(at));
  return bytes.readUIntBE(at, length);
}

/**
 * Whether encoded items have no tags. Items follow each other, also nested ones,
 * so that one pass over their first bytes is enough. Malformed items count as
 * tagged, except for those that are cut off.
 */
export function isPlainCbor(bytes: Buffer): boolean {
  let at = 0;
  while (at < bytes.length) {
    const first = bytes[at++]!;
    const majorType = first >> 5;
    const info = first & 0x1f;
    if (majorType === MajorType.Tag) return false;
    if (info === INDEFINITE) continue;
    let argument = info;
    if (info > MAX_DIRECT_ARGUMENT) {
      const length = ARGUMENT_BYTES.get(info);
      if (length === undefined) return false;
      if (at + length > bytes.length) return true;
      argument = argumentOf(bytes, at, length);
      at += length;
    }
    if (majorType === MajorType.Bytes || majorType === MajorType.Text)
      at += argument;
  }
  return true;
}
