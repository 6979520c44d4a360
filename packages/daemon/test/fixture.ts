/**
 * A group of stand-in databases without sockets, and instances before it that
 * real clients log in to. Replication happens when a test says so.
 */
import {
  type Disposable,
  type DisposableStore,
  disposableStore,
  systemClock,
} from '@quetzalreel/common';
import {type Configuration, parseConfiguration} from '@quetzalreel/config';
import {
  type ResponseSink,
  type Attempt,
  EndpointConnection,
  EndpointControl,
  EndpointDownError,
  EndpointDriver,
  type EndpointStatus,
} from '@quetzalreel/endpoint';
import {type Position, parsePosition, tokenCodec} from '@quetzalreel/position';
import {
  type Database,
  database,
  noFaults,
  session,
  slots,
  waitPast,
} from '@quetzalreel/standin';
import {
  TransactionStatus,
  frameSplitter,
  readParameter,
  readStatus,
} from '@quetzalreel/wire';
import {start, stop} from 'nact';
import pg from 'pg';
import {type CallerListener, startListener} from '../src/caller-listener.js';
import {GROUP_LIMITS, TIMES} from '../src/defaults.js';
import {startGroup} from '../src/group-actor.js';
import type {GroupHandle} from '../src/group-handle.js';
import {createLog} from '../src/log.js';

/** A database of the group, reached without a socket. */
export interface FakeEndpoint {
  readonly name: string;
  readonly db: Database;
  /** While false, nothing of the primary's log is copied here. */
  follows: boolean;
  /** Number of coming answers that are lost with their connection. */
  loseAnswers: number;
  /** Connections opened so far. */
  opened: number;
  /** Requests that reached it, by their bytes as text. */
  readonly requests: string[];
}

/** An instance of the system. */
export interface FakeInstance {
  readonly group: GroupHandle;
  readonly listener: CallerListener;
  /** Endpoints that it can't reach. */
  readonly cut: Set<string>;
  /** A client that is logged in. */
  client(): Promise<pg.Client>;
}

/** Everything of a test. */
export interface Fixture extends Disposable {
  readonly endpoints: readonly FakeEndpoint[];
  instance(name: string): Promise<FakeInstance>;
  /** Copies the primary's log to all that follow it. */
  replicate(): void;
}

const GROUP = 'entries';
const NAMES = ['e1', 'e2', 'e3'];
const KEY = 'a key of this test';
const MAX_FRAME_BYTES = 1024 * 1024;

/** The configuration of the fixture. */
export const CONFIGURATION: Configuration = parseConfiguration({
  generation: 1,
  groups: [
    {
      name: GROUP,
      endpoints: NAMES.map((name, i) => ({
        name,
        host: '127.0.0.1',
        port: i + 1,
        dataCentre: 'recife',
      })),
    },
  ],
  kinds: [
    {name: 'list', access: 'read', maxAgeMs: 60_000, deadlineMs: 10_000},
    {name: 'brief', access: 'read', maxAgeMs: 60_000, deadlineMs: 400},
    {name: 'pay', access: 'write', deadlineMs: 400},
    {name: 'note', access: 'write', ack: 'primary', deadlineMs: 400},
  ],
});

/** Three databases, e1 the primary, and no instance yet. */
export function fixture(): Fixture {
  const owned = disposableStore();
  const endpoints = NAMES.map(fakeEndpoint);
  const primary = () =>
    endpoints
      .filter(({db}) => db.role === 'primary')
      .sort((a, b) => b.db.term - a.db.term)[0]!;

  function replicate(): void {
    const source = primary().db;
    for (const {db, follows} of endpoints) {
      if (!follows || db.role !== 'replica' || db.term !== source.term)
        continue;
      let next = db.truncateToSharedPrefix(source.term, source.log.runs());
      for (; next >= 0 && next < source.log.length; next++) {
        db.receive(source.term, source.log.at(next)!);
      }
    }
  }

  for (const {db} of endpoints) {
    db.onChange(() => {
      if (db === primary().db) replicate();
    });
  }
  replicate();
  return {
    endpoints,
    replicate,
    instance: name => startInstance(name, endpoints, owned),
    dispose: () => owned.dispose(),
  };
}

function fakeEndpoint(name: string): FakeEndpoint {
  const upstream = {term: 1, host: '127.0.0.1', port: 1};
  const db = database({
    name,
    upstream: name === 'e1' ? undefined : upstream,
    now: () => performance.now(),
  });
  const requests: string[] = [];
  return {name, db, follows: true, loseAnswers: 0, opened: 0, requests};
}

async function startInstance(
  name: string,
  endpoints: readonly FakeEndpoint[],
  owned: DisposableStore,
): Promise<FakeInstance> {
  const system = start();
  owned.add({dispose: () => stop(system)});
  const cut = new Set<string>();
  const context = {
    system,
    clock: systemClock(),
    log: createLog(name, 'fatal'),
    instance: name,
    dataCentre: 'recife',
    limits: GROUP_LIMITS,
    times: TIMES.poll,
    tickMs: TIMES.groupTickMs,
    driverOf: (cfg: {name: string}) =>
      new FakeDriver(
        endpoints.find(item => item.name === cfg.name)!,
        cut,
      ),
    capacityOf: () => 3,
  };
  const group = owned.add(startGroup(CONFIGURATION.groups[0]!, context));
  const listener = owned.add(
    await startListener({
      ...context,
      host: '127.0.0.1',
      port: 0,
      maxMessageBytes: 64 * 1024,
      loginTimeoutMs: TIMES.loginMs,
      tokens: tokenCodec(KEY),
      verify: async () => true,
      configuration: () => CONFIGURATION,
      groupOf: database => (database === GROUP ? group : undefined),
    }),
  );
  async function client(): Promise<pg.Client> {
    const opened = new pg.Client({
      host: '127.0.0.1',
      port: listener.port,
      user: 'caller',
      database: GROUP,
    });
    opened.on('error', () => {});
    await opened.connect();
    owned.add({dispose: () => void opened.end().catch(() => {})});
    return opened;
  }
  return {group, listener, cut, client};
}

class FakeDriver extends EndpointDriver {
  constructor(
    private readonly target: FakeEndpoint,
    private readonly cut: ReadonlySet<string>,
  ) {
    super();
  }

  get endpoint(): string {
    return this.target.name;
  }

  control(): EndpointControl {
    return new FakeControl(this.target, this.cut);
  }

  async connect(): Promise<EndpointConnection> {
    checkReach(this.target, this.cut);
    this.target.opened++;
    return new FakeConnection(this.target, this.cut);
  }
}

function checkReach(target: FakeEndpoint, cut: ReadonlySet<string>): void {
  if (cut.has(target.name)) throw new EndpointDownError(target.name, 'cut');
}

class FakeControl extends EndpointControl {
  constructor(
    private readonly target: FakeEndpoint,
    private readonly cut: ReadonlySet<string>,
  ) {
    super();
  }

  async status(past?: Position, waitMs = 0): Promise<EndpointStatus> {
    if (past) await waitPast(this.target.db, past, waitMs);
    return this.call(() => this.target.db.status());
  }

  fence(attempt: Attempt): Promise<EndpointStatus> {
    return this.call(() => this.target.db.fence(attempt));
  }

  promote(attempt: Attempt): Promise<EndpointStatus> {
    return this.call(() => this.target.db.promote(attempt));
  }

  follow(attempt: Attempt): Promise<EndpointStatus> {
    return this.call(() => this.target.db.follow(attempt, '127.0.0.1', 1));
  }

  dispose(): void {}

  private async call(task: () => EndpointStatus): Promise<EndpointStatus> {
    // A call takes a turn at least, as it would on a socket.
    await new Promise(resolve => setImmediate(resolve));
    checkReach(this.target, this.cut);
    return task();
  }
}

class FakeConnection extends EndpointConnection {
  open = true;
  idle = true;
  readonly heardAt = 0;
  commitPosition: Position | undefined;
  private readonly closeListeners = new Set<() => void>();
  private sink: ResponseSink | undefined;
  private last = Promise.resolve();
  private readonly frames = frameSplitter(MAX_FRAME_BYTES);
  private readonly answers = frameSplitter(MAX_FRAME_BYTES);
  private readonly session;

  constructor(
    private readonly target: FakeEndpoint,
    private readonly cut: ReadonlySet<string>,
  ) {
    super();
    this.session = session({
      db: target.db,
      faults: noFaults({lagMs: 0, serviceMs: 0, distanceMs: 0}),
      slots: slots(3),
      send: bytes => this.receive(bytes),
      replicate: () => {},
      drop: () => this.dispose(),
    });
  }

  get endpoint(): string {
    return this.target.name;
  }

  send(request: Buffer, sink: ResponseSink): void {
    this.target.requests.push(request.toString('latin1'));
    this.sink = sink;
    this.idle = false;
    this.commitPosition = undefined;
    if (this.cut.has(this.target.name)) this.dispose();
    for (const frame of this.frames.push(request)) {
      this.last = this.last.then(() => this.session.handle(frame));
    }
  }

  onClose(listener: () => void): Disposable {
    this.closeListeners.add(listener);
    return {dispose: () => this.closeListeners.delete(listener)};
  }

  dispose(): void {
    this.open = false;
    const sink = this.sink;
    this.sink = undefined;
    sink?.broken(new EndpointDownError(this.target.name, 'broke'));
    for (const listener of this.closeListeners) listener();
  }

  private receive(bytes: Buffer): void {
    for (const frame of this.answers.push(bytes)) {
      if (frame.type === 'S') {
        this.commitPosition = parsePosition(readParameter(frame).value);
        continue;
      }
      if (this.target.loseAnswers > 0) {
        this.target.loseAnswers--;
        this.dispose();
      }
      const sink = this.sink;
      if (frame.type === 'Z') {
        this.sink = undefined;
        this.idle = readStatus(frame) === TransactionStatus.Idle;
      }
      sink?.frame(frame);
    }
  }
}
