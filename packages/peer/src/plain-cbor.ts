/**
 * Which CBOR values peers may send: the ones that JSON has, byte strings and
 * undefined. Tags let a short frame stand for a value that is far larger: shared
 * values, packed tables and records. No instance sends any. Arrays and maps are
 * counted: an empty one is a byte in a frame, and some sixty when it is decoded.
 */

/**
 * Most arrays and maps of a frame. A copy of the 9,000 entries that fit into one
 * has 27,000.
 */
export const MAX_CONTAINERS = 150_000;

/** Upper three bits of the first byte of an item. */
const MajorType = {
  Bytes: 2,
  Text: 3,
  Array: 4,
  Map: 5,
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
 * What makes encoded items unfit to be decoded; undefined for nothing. Items follow
 * each other, also nested ones, so that one pass over their first bytes is enough.
 * Those that are cut off are left to the decoder.
 */
export function cborFault(bytes: Buffer): string | undefined {
  let at = 0;
  let containers = 0;
  while (at < bytes.length) {
    const first = bytes[at++]!;
    const majorType = first >> 5;
    const info = first & 0x1f;
    if (majorType === MajorType.Tag) return 'it has a tagged value';
    if (majorType === MajorType.Array || majorType === MajorType.Map)
      containers++;
    if (containers > MAX_CONTAINERS)
      return `it has more than ${MAX_CONTAINERS} arrays and maps`;
    if (info === INDEFINITE) continue;
    let argument = info;
    if (info > MAX_DIRECT_ARGUMENT) {
      const length = ARGUMENT_BYTES.get(info);
      if (length === undefined) return 'it has a malformed value';
      if (at + length > bytes.length) return undefined;
      argument = argumentOf(bytes, at, length);
      at += length;
    }
    if (majorType === MajorType.Bytes || majorType === MajorType.Text)
      at += argument;
  }
  return undefined;
}
