/**
 * Generators of input as a faulty or hostile writer may send it, for the tests of
 * decoders. fast-check prints the seed and the smallest input of a failure.
 */
import fc from 'fast-check';

/** Names that an object inherits, and that a lookup in a table may find. */
const INHERITED_NAMES = [
  'constructor',
  'toString',
  'valueOf',
  'hasOwnProperty',
  '__proto__',
] as const;

const ODD_NUMBERS = [-1, 0.5, 1e300, 2 ** 31, Number.MAX_SAFE_INTEGER] as const;

/** Deeper than any valid value. */
const ODD_DEPTH = 3000;

function nested(depth: number): unknown {
  let value: unknown = 1;
  for (let i = 0; i < depth; i++) value = [value];
  return value;
}

/** Values that are seldom valid in place of a field. */
export const oddValue: fc.Arbitrary<unknown> = fc.oneof(
  fc.constantFrom<unknown>(null, '', [], {}, true, '\ud800'),
  fc.constantFrom(...INHERITED_NAMES),
  fc.constantFrom(...ODD_NUMBERS),
  fc.constant(nested(ODD_DEPTH)),
  fc.jsonValue({maxDepth: 2}),
);

/** Words of a protocol, inherited names, and any other text. */
export function oddWord(...words: readonly string[]): fc.Arbitrary<string> {
  return fc.oneof(
    {weight: 4, arbitrary: fc.constantFrom(...words)},
    fc.constantFrom(...INHERITED_NAMES),
    fc.string({maxLength: 8}),
  );
}

type Path = readonly string[];

/** The paths of all fields and elements in a value, with that of the whole. */
function pathsOf(value: unknown, path: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [path];
  const paths = [path];
  for (const [name, inner] of Object.entries(value))
    paths.push(...pathsOf(inner, [...path, name]));
  return paths;
}

/** Stands for a field that is left out. */
const LEFT_OUT = Symbol('left out');

/** A copy of `value` in which the field at `path` is replaced. */
function replaced(value: unknown, path: Path, by: unknown): unknown {
  const [name, ...rest] = path;
  if (name === undefined) return by === LEFT_OUT ? undefined : by;
  if (typeof value !== 'object' || value === null) return value;
  const isLeftOut = rest.length === 0 && by === LEFT_OUT;
  if (Array.isArray(value) && isLeftOut)
    return value.filter((_, i) => String(i) !== name);
  const copy = (Array.isArray(value) ? [...value] : {...value}) as Record<
    string,
    unknown
  >;
  if (isLeftOut) delete copy[name];
  else copy[name] = replaced(copy[name], rest, by);
  return copy;
}

/** A valid value with up to three fields replaced or left out, at any depth. */
export function mutated(valid: unknown): fc.Arbitrary<unknown> {
  const change = fc.tuple(
    fc.constantFrom(...pathsOf(valid)),
    fc.oneof(fc.constant<unknown>(LEFT_OUT), oddValue),
  );
  return fc
    .array(change, {maxLength: 3})
    .map(changes =>
      changes.reduce(
        (value: unknown, [path, by]) => replaced(value, path, by),
        valid,
      ),
    );
}

/** Arbitrary bytes. */
export function anyBytes(maxLength: number): fc.Arbitrary<Buffer> {
  return fc.uint8Array({maxLength}).map(bytes => Buffer.from(bytes));
}

/** Valid bytes of which up to three stretches are replaced, or the end is cut off. */
export function mutatedBytes(
  valid: fc.Arbitrary<Buffer>,
): fc.Arbitrary<Buffer> {
  const change = fc.record({
    at: fc.nat(),
    removed: fc.constantFrom(0, 1, 1, 4, Infinity),
    added: fc.uint8Array({maxLength: 4}),
  });
  return fc
    .tuple(valid, fc.array(change, {maxLength: 3}))
    .map(([bytes, changes]) => {
      let current = bytes;
      for (const {at, removed, added} of changes) {
        const place = at % (current.length + 1);
        const rest = current.subarray(
          place + Math.min(removed, current.length),
        );
        current = Buffer.concat([current.subarray(0, place), added, rest]);
      }
      return current;
    });
}

/** The bytes of a stream in chunks that end anywhere. */
export function inChunks(
  stream: fc.Arbitrary<Buffer>,
): fc.Arbitrary<readonly Buffer[]> {
  const cuts = fc.array(fc.nat(), {maxLength: 8});
  return fc.tuple(stream, cuts).map(([bytes, places]) => {
    const ends = places.map(place => place % (bytes.length + 1));
    ends.sort((a, b) => a - b);
    let from = 0;
    return [...ends, bytes.length].map(end => {
      const chunk = bytes.subarray(from, end);
      from = end;
      return chunk;
    });
  });
}
