/** Simulates a caller that writes, reads and switches between proxies. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type ProxyAddress, roamingClient} from './roaming.js';
import {type ReadRecord, type WriteRecord, valueOf} from './history.js';
import {type MixPart, Operation} from './workloads.js';

/** How the endpoint of a read is chosen. */
export const ReadPolicy = {
  /** The proxy chooses. */
  Product: 'product',
  /** Baseline: every read goes to the primary. */
  PrimaryOnly: 'primary-only',
  /** Baseline: reads go to the primary for a fixed time after a write. */
  PrimaryAfterWrite: 'primary-after-write',
} as const;

/** One of the values of `ReadPolicy`. */
export type ReadPolicy = (typeof ReadPolicy)[keyof typeof ReadPolicy];

/** State shared by the callers of one group. */
export interface SharedGroupLoad {
  /** Keys whose insertion was acknowledged, for reads by all callers. */
  readonly keys: string[];
  /** Insertions left in the current wave; 0 outside a wave. */
  places: number;
  /** Called when `places` reaches 0. */
  onFilled(): void;
}

/** Settings of a caller. */
export interface CallerOptions {
  readonly name: string;
  readonly group: string;
  readonly proxies: readonly ProxyAddress[];
  readonly seed: number;
  readonly mix: readonly MixPart[];
  /** Maximum staleness that each kind of read accepts, milliseconds. */
  readonly maxAgeMs: Readonly<Record<string, number>>;
  readonly policy: ReadPolicy;
  /** Number of requests after which the caller picks a proxy at random again. */
  readonly requestsPerProxy: number;
  /** Timeout of a connection attempt or a request, milliseconds. */
  readonly timeoutMs: number;
  /** Pause between two requests, milliseconds. */
  readonly thinkMs: number;
  readonly groupLoad: SharedGroupLoad;
}

/** Requests that a caller recorded. */
export interface CallerRecords {
  readonly writes: WriteRecord[];
  readonly reads: ReadRecord[];
  /** Number of reads that a baseline sent to the primary. */
  readonly forcedReads: number;
}

/** Table that callers write to. */
export const ENTRY_TABLE = 'entries';
/** Time after a write in which `PrimaryAfterWrite` reads from the primary. */
const PRIMARY_AFTER_WRITE_MS = 1000;

interface Change {
  readonly key: string;
  readonly version: number;
}

/** Sends requests until `stopped` returns true, and returns their records. */
export async function runCaller(
  options: CallerOptions,
  stopped: () => boolean,
): Promise<CallerRecords> {
  const {groupLoad} = options;
  const writes: WriteRecord[] = [];
  const reads: ReadRecord[] = [];
  const random = xoroshiro128plus(options.seed);
  const randomBelow = (size: number) => uniformInt(random, 0, size - 1);
  const client = roamingClient(options, randomBelow);
  const totalWeight = options.mix.reduce((sum, part) => sum + part.weight, 0);
  /** Acknowledged version of each row that this caller may change. */
  const ackedVersions = new Map<string, number>();
  /** Highest version sent for each row; two writes never share a version. */
  const attemptedVersions = new Map<string, number>();
  let ownKeys: string[] = [];
  let rowsCreated = 0;
  let forcedReads = 0;
  let lastWriteAt = -Infinity;

  const postPart =
    options.mix.find(part => part.operation === Operation.Post) ??
    options.mix[0]!;

  function nextPart(): MixPart {
    if (groupLoad.places > 0) return postPart;
    let draw = randomBelow(totalWeight);
    for (const part of options.mix) {
      if (draw < part.weight) return part;
      draw -= part.weight;
    }
    return options.mix[0]!;
  }

  const newRow = (): Change => ({
    key: `${options.name}-${++rowsCreated}`,
    version: 1,
  });

  function nextChange(): Change {
    if (ownKeys.length === 0) return newRow();
    const key = ownKeys[randomBelow(ownKeys.length)]!;
    const version = (attemptedVersions.get(key) ?? 1) + 1;
    attemptedVersions.set(key, version);
    return {key, version};
  }

  async function write(
    part: MixPart,
    changes: readonly Change[],
  ): Promise<void> {
    const isPair = changes.length > 1;
    const transaction = isPair ? {transaction: changes[1]!.key} : {};
    const startedAt = performance.now();
    const statements = changes.map(change => statementOf(part.kind, change));
    const outcome = isPair
      ? await client.transaction(statements)
      : await client.write(statements[0]!);
    const endedAt = performance.now();
    const {name: caller, group} = options;
    const who = {caller, group, proxy: client.proxy};
    const times = {startedAt, endedAt};
    for (const change of changes) {
      writes.push({...change, ...who, ...times, ...outcome, ...transaction});
    }
    lastWriteAt = endedAt;
    for (const change of changes) recordOutcome(change, outcome.outcome);
    const isPost = part.operation === Operation.Post;
    if (isPost && outcome.outcome === 'acked') countInsertion();
  }

  /**
   * Updates the caller's rows after a write. After an unknown outcome the
   * caller no longer changes the row or reads it as its own, and a new row is
   * not offered to the other callers.
   */
  function recordOutcome(
    change: Change,
    outcome: WriteRecord['outcome'],
  ): void {
    if (outcome === 'acked') {
      ackedVersions.set(change.key, change.version);
      if (change.version === 1) groupLoad.keys.push(change.key);
    } else if (outcome === 'unknown') {
      ackedVersions.delete(change.key);
    }
    ownKeys = [...ackedVersions.keys()].slice(-MAX_OWN_KEYS);
  }

  function countInsertion(): void {
    if (groupLoad.places === 0) return;
    groupLoad.places--;
    if (groupLoad.places === 0) groupLoad.onFilled();
  }

  async function read(part: MixPart, key: string): Promise<void> {
    const isForced = mustReadPrimary();
    if (isForced) forcedReads++;
    const select = `SELECT value FROM ${ENTRY_TABLE} WHERE key = '${key}'`;
    const sql = isForced
      ? `BEGIN; ${select}; COMMIT`
      : `/*kind='${part.kind}'*/ ${select}`;
    const startedAt = performance.now();
    const answer = await client.read(sql);
    const endedAt = performance.now();
    const maxAgeMs = options.maxAgeMs[part.kind] ?? 0;
    const who = {caller: options.name, proxy: client.proxy};
    reads.push({key, startedAt, endedAt, maxAgeMs, ...who, ...answer});
  }

  function mustReadPrimary(): boolean {
    if (options.policy === ReadPolicy.PrimaryOnly) return true;
    if (options.policy === ReadPolicy.Product) return false;
    return performance.now() - lastWriteAt < PRIMARY_AFTER_WRITE_MS;
  }

  async function perform(part: MixPart): Promise<void> {
    switch (part.operation) {
      case Operation.Post:
        return write(part, [newRow()]);
      case Operation.PostPair:
        return write(part, [newRow(), newRow()]);
      case Operation.Amend:
        return write(part, [nextChange()]);
      case Operation.AmendWithHistory:
        return write(part, [nextChange(), newRow()]);
      case Operation.ReadOwn:
        if (ownKeys.length === 0) return write(postPart, [newRow()]);
        return read(
          part,
          ownKeys.at(-1 - randomBelow(Math.min(3, ownKeys.length)))!,
        );
      case Operation.Browse:
        if (groupLoad.keys.length === 0) return;
        return read(part, groupLoad.keys[randomBelow(groupLoad.keys.length)]!);
    }
  }

  while (!stopped()) {
    const part = nextPart();
    if (await client.connect()) await perform(part);
    const pause = groupLoad.places > 0 ? 0 : options.thinkMs;
    await new Promise(resolve => setTimeout(resolve, pause));
  }
  await client.end();
  return {writes, reads, forcedReads};
}

/** Number of its newest rows that a caller changes and reads as its own. */
const MAX_OWN_KEYS = 50;

function statementOf(kind: string, {key, version}: Change): string {
  const value = valueOf(key, version);
  const sql =
    version === 1
      ? `INSERT INTO ${ENTRY_TABLE} (key, value) VALUES ('${key}', '${value}')`
      : `UPDATE ${ENTRY_TABLE} SET value = '${value}' WHERE key = '${key}'`;
  return `/*kind='${kind}'*/ ${sql}`;
}
