/**
 * Replication between stand-in databases. A replica sends its primary
 * `SELECT quetzalreel_replicate(term, runs)`, where `runs` lists the terms of
 * its log and where each ends. The response is an endless stream of rows: first
 * the primary's own runs, then log records, with an empty row as heartbeat.
 */
import {
  type EndpointConnection,
  EndpointDownError,
  pgDriver,
} from '@quetzalreel/endpoint';
import {type Frame, dataRow, query} from '@quetzalreel/wire';
import type {Database, Upstream} from './database.js';
import {type DatabaseFaults, REPLICATION_NAME} from './faults.js';
import {type LogRecord, type TermRun, sharedLength} from './log.js';

const HEARTBEAT_MS = 20;
const RECONNECT_MS = 20;
/** A replica closes its connection after this time without a message. */
const SILENCE_MS = 500;
const CONNECT_TIMEOUT_MS = 1000;
/** Limits the records sent at once, so that heartbeats go out in between. */
const BATCH_RECORDS = 500;

/**
 * Streams the log to a replica until the term ends. Returns a function that
 * stops the stream earlier, for a closed connection.
 */
export function serveReplica(
  db: Database,
  term: number,
  replicaRuns: readonly TermRun[],
  send: (bytes: Buffer) => void,
  drop: () => void,
): () => void {
  if (!db.isPrimaryOf(term)) {
    drop();
    return () => {};
  }
  const runs = db.log.runs();
  let nextIndex = sharedLength(runs, replicaRuns);
  send(dataRow([JSON.stringify({runs})]));
  const sendNewRecords = () => {
    if (!db.isPrimaryOf(term)) {
      stop();
      drop();
      return;
    }
    const end = Math.min(db.log.length, nextIndex + BATCH_RECORDS);
    for (; nextIndex < end; nextIndex++) {
      send(dataRow([JSON.stringify({record: db.log.at(nextIndex)})]));
    }
  };
  const unlisten = db.onChange(sendNewRecords);
  const heartbeat = setInterval(() => {
    sendNewRecords();
    send(dataRow([null]));
  }, HEARTBEAT_MS);
  const stop = () => {
    unlisten();
    clearInterval(heartbeat);
  };
  sendNewRecords();
  return stop;
}

/**
 * Replicates from the current primary, and reconnects after an error or a
 * change of primary. Returns a function that stops it.
 */
export function followUpstream(
  name: string,
  db: Database,
  faults: DatabaseFaults,
): () => void {
  let current: EndpointConnection | undefined;
  let following: Upstream | undefined;
  let stopped = false;

  const onUpstreamChange = () => {
    if (db.upstream === following) return;
    following = db.upstream;
    current?.dispose();
    current = undefined;
    if (following) void replicateFrom(following);
  };

  const isCurrent = (upstream: Upstream) =>
    !stopped && db.upstream === upstream;

  async function replicateFrom(upstream: Upstream): Promise<void> {
    while (isCurrent(upstream)) {
      try {
        await receiveFrom(upstream);
      } catch (err) {
        // The primary is unreachable or was replaced; the loop retries.
        if (isCurrent(upstream) && isRefusal(err)) db.markUpstreamRefused();
      }
      await new Promise(resolve => setTimeout(resolve, RECONNECT_MS));
    }
  }

  async function receiveFrom(upstream: Upstream): Promise<void> {
    const connection = await connectTo(name, upstream);
    if (!isCurrent(upstream)) {
      connection.dispose();
      return;
    }
    current = connection;
    const runs = JSON.stringify(db.log.runs());
    const sql = `SELECT quetzalreel_replicate(${upstream.term}, '${runs}')`;
    const receiver = recordReceiver(db, faults, upstream.term, connection);
    let heardAt = performance.now();
    const silenceCheck = setInterval(() => {
      if (performance.now() - heardAt >= SILENCE_MS) connection.dispose();
    }, HEARTBEAT_MS);
    await new Promise<void>(resolve => {
      connection.send(query(sql), {
        frame: frame => {
          heardAt = performance.now();
          receiver(frame);
        },
        broken: () => resolve(),
      });
    });
    clearInterval(silenceCheck);
  }

  const unlisten = db.onChange(onUpstreamChange);
  onUpstreamChange();
  return () => {
    stopped = true;
    unlisten();
    current?.dispose();
  };
}

function isRefusal(err: unknown): boolean {
  if (!(err instanceof EndpointDownError)) return false;
  const cause = err.cause() as NodeJS.ErrnoException | undefined;
  return cause?.code === 'ECONNREFUSED';
}

function connectTo(
  name: string,
  upstream: Upstream,
): Promise<EndpointConnection> {
  const address = {
    name,
    host: upstream.host,
    port: upstream.port,
    user: REPLICATION_NAME,
    password: '',
    database: REPLICATION_NAME,
    applicationName: REPLICATION_NAME,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  };
  return pgDriver(address, {callTimeoutMs: CONNECT_TIMEOUT_MS}).connect();
}

/** Returns a frame handler that applies records in order, after the lag. */
function recordReceiver(
  db: Database,
  faults: DatabaseFaults,
  term: number,
  connection: EndpointConnection,
): (frame: Frame) => void {
  let queue: Array<{readonly dueAt: number; readonly record: LogRecord}> = [];
  let timer: NodeJS.Timeout | undefined;
  const applyDueRecords = () => {
    timer = undefined;
    const now = performance.now();
    while (queue.length > 0 && queue[0]!.dueAt <= now) {
      const {record} = queue.shift()!;
      if (!connection.open) return;
      if (!db.receive(term, record)) {
        queue = [];
        connection.dispose();
        return;
      }
    }
    if (queue.length > 0)
      timer = setTimeout(applyDueRecords, queue[0]!.dueAt - now);
  };
  return frame => {
    if (frame.type !== 'D') return;
    db.markUpstreamAlive();
    const text = frame.bytes.toString('utf8', 11);
    if (text === '') return;
    const row = JSON.parse(text) as {runs?: TermRun[]; record?: LogRecord};
    if (row.runs && db.truncateToSharedPrefix(term, row.runs) < 0)
      connection.dispose();
    if (!row.record) return;
    queue.push({dueAt: performance.now() + faults.lagMs, record: row.record});
    if (!timer) applyDueRecords();
  };
}
