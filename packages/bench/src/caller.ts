/** A caller that writes, reads its own writes and roams between proxies. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type ProxyAddress, roamingClient} from './roaming.js';
import {type ReadRecord, type WriteRecord, valueOf} from './history.js';
import {type MixPart, Operation} from './workloads.js';

/** Where reads are sent. */
export const ReadPolicy = {
  /** The product decides. */
  Product: 'product',
  /** Baseline: every read goes to the primary. */
  PrimaryOnly: 'primary-only',
  /** Baseline: reads go to the primary for a time after a write. */
  PrimaryAfterWrite: 'primary-after-write',
} as const;

/** One of the values of `ReadPolicy`. */
export type ReadPolicy = (typeof ReadPolicy)[keyof typeof ReadPolicy];

/** What callers of one group share. */
export interface Board {
  /** Keys that were acknowledged, for browsing. */
  readonly keys: string[];
  /** Places left in the present wave. */
  places: number;
  /** Called when the last place of a wave is taken. */
  onFilled(): void;
}

/** What a caller does. */
export interface CallerOptions {
  readonly name: string;
  readonly group: string;
  readonly proxies: readonly ProxyAddress[];
  readonly seed: number;
  readonly mix: readonly MixPart[];
  /** Largest age of each read kind, milliseconds. */
  readonly maxAgeMs: Readonly<Record<string, number>>;
  readonly policy: ReadPolicy;
  /** Requests between two changes of proxy. */
  readonly requestsPerProxy: number;
  /** Longest wait for an answer, milliseconds. */
  readonly timeoutMs: number;
  /** Pause between two requests, milliseconds. */
  readonly thinkMs: number;
  readonly board: Board;
}

/** What a caller recorded. */
export interface CallerRecords {
  readonly writes: WriteRecord[];
  readonly reads: ReadRecord[];
  /** Reads that a baseline sent to the primary. */
  readonly forcedReads: number;
}

/** Table that callers write to. */
export const ENTRY_TABLE = 'entries';
/** Time after a write in which a baseline reads from the primary. */
const PRIMARY_AFTER_WRITE_MS = 1000;

interface Change {
  readonly key: string;
  readonly version: number;
}

/** Works until `stopped` says so; resolves with what was seen. */
export async function runCaller(
  options: CallerOptions,
  stopped: () => boolean,
): Promise<CallerRecords> {
  const {board} = options;
  const writes: WriteRecord[] = [];
  const reads: ReadRecord[] = [];
  const random = xoroshiro128plus(options.seed);
  const pick = (size: number) => uniformInt(random, 0, size - 1);
  const client = roamingClient(options, pick);
  const total = options.mix.reduce((sum, part) => sum + part.weight, 0);
  /** Rows that this caller may change, with their acknowledged versions. */
  const owned = new Map<string, number>();
  /** Highest version tried of each row: none is used for two writes. */
  const tried = new Map<string, number>();
  let ownKeys: string[] = [];
  let count = 0;
  let forcedReads = 0;
  let lastWriteAt = -Infinity;

  function nextPart(): MixPart {
    const wave = options.mix.find(part => part.operation === Operation.Post);
    if (board.places > 0 && wave) return wave;
    let at = pick(total);
    for (const part of options.mix) {
      if (at < part.weight) return part;
      at -= part.weight;
    }
    return options.mix[0]!;
  }

  const fresh = (): Change => ({key: `${options.name}-${++count}`, version: 1});

  function amended(): Change {
    if (ownKeys.length === 0) return fresh();
    const key = ownKeys[pick(ownKeys.length)]!;
    const version = (tried.get(key) ?? 1) + 1;
    tried.set(key, version);
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
    for (const change of changes) settle(change, outcome.outcome);
    const isPost = part.operation === Operation.Post;
    if (isPost && outcome.outcome === 'acked') takePlace();
  }

  /** A row whose state is in doubt is neither changed nor browsed again. */
  function settle(change: Change, outcome: WriteRecord['outcome']): void {
    if (outcome === 'acked') {
      owned.set(change.key, change.version);
      if (change.version === 1) board.keys.push(change.key);
    } else if (outcome === 'unknown') {
      owned.delete(change.key);
    }
    ownKeys = [...owned.keys()].slice(-OWN_KEYS);
  }

  function takePlace(): void {
    if (board.places === 0) return;
    board.places--;
    if (board.places === 0) board.onFilled();
  }

  async function read(part: MixPart, key: string): Promise<void> {
    const isForced = isForcedToPrimary();
    if (isForced) forcedReads++;
    const named = `SELECT value FROM ${ENTRY_TABLE} WHERE key = '${key}'`;
    const sql = isForced
      ? `BEGIN; ${named}; COMMIT`
      : `/*kind='${part.kind}'*/ ${named}`;
    const startedAt = performance.now();
    const answer = await client.read(sql);
    const endedAt = performance.now();
    const maxAgeMs = options.maxAgeMs[part.kind] ?? 0;
    const who = {caller: options.name, proxy: client.proxy};
    reads.push({key, startedAt, endedAt, maxAgeMs, ...who, ...answer});
  }

  function isForcedToPrimary(): boolean {
    if (options.policy === ReadPolicy.PrimaryOnly) return true;
    if (options.policy === ReadPolicy.Product) return false;
    return performance.now() - lastWriteAt < PRIMARY_AFTER_WRITE_MS;
  }

  async function perform(part: MixPart): Promise<void> {
    switch (part.operation) {
      case Operation.Post:
        return write(part, [fresh()]);
      case Operation.PostPair:
        return write(part, [fresh(), fresh()]);
      case Operation.Amend:
        return write(part, [amended()]);
      case Operation.AmendWithHistory:
        return write(part, [amended(), fresh()]);
      case Operation.ReadOwn:
        if (ownKeys.length === 0) return write(part, [fresh()]);
        return read(part, ownKeys.at(-1 - pick(Math.min(3, ownKeys.length)))!);
      case Operation.Browse:
        if (board.keys.length === 0) return;
        return read(part, board.keys[pick(board.keys.length)]!);
    }
  }

  while (!stopped()) {
    const part = nextPart();
    if (await client.connect()) await perform(part);
    const pause = board.places > 0 ? 0 : options.thinkMs;
    await new Promise(resolve => setTimeout(resolve, pause));
  }
  await client.end();
  return {writes, reads, forcedReads};
}

/** Own rows that a caller remembers. */
const OWN_KEYS = 50;

function statementOf(kind: string, {key, version}: Change): string {
  const value = valueOf(key, version);
  const sql =
    version === 1
      ? `INSERT INTO ${ENTRY_TABLE} (key, value) VALUES ('${key}', '${value}')`
      : `UPDATE ${ENTRY_TABLE} SET value = '${value}' WHERE key = '${key}'`;
  return `/*kind='${kind}'*/ ${sql}`;
}
