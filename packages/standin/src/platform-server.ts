/** A stand-in for the platform's object store API, with injected faults. */
import http from 'node:http';
import type net from 'node:net';

/** Faults of the stand-in platform. */
export interface PlatformFaults {
  /** Every call fails with 503. */
  down: boolean;
  /** Milliseconds by which each call is delayed. */
  slowMs: number;
  /** Number of upcoming writes that are stored but get no response. */
  loseAnswers: number;
  /** Changes don't wake watches, which respond only at their timeout. */
  silentWatches: boolean;
  /** Number of versions by which reads lag behind the latest value. */
  staleReads: number;
}

interface Stored {
  readonly version: number;
  readonly value: string;
}

/** A running stand-in platform. */
export interface PlatformServer {
  readonly port: number;
  readonly faults: PlatformFaults;
  /** Calls received since the start; a watch counts as one call. */
  readonly calls: number;
  instances: unknown[];
  close(): void;
}

const MAX_VALUE_BYTES = 1024 * 1024;

/** Starts a platform on `port`, or on a free port if it is 0. */
export async function platformServer(port: number): Promise<PlatformServer> {
  const faults: PlatformFaults = {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
    silentWatches: false,
    staleReads: 0,
  };
  const history = new Map<string, Stored[]>();
  const watchers = new Set<() => void>();
  let version = 0;
  let calls = 0;
  let instances: unknown[] = [];

  const newest = (name: string) => history.get(name)?.at(-1);

  function read(name: string): Stored | undefined {
    const versions = history.get(name) ?? [];
    return versions.at(-1 - Math.min(faults.staleReads, versions.length - 1));
  }

  function store(name: string, value: string): Stored {
    const stored = {version: ++version, value};
    history.set(name, [...(history.get(name) ?? []), stored]);
    for (const wake of [...watchers]) wake();
    return stored;
  }

  function put(req: http.IncomingMessage, name: string, body: string): Reply {
    const current = newest(name)?.version;
    const expected = req.headers['if-match']?.replace(/"/g, '');
    const matches =
      expected === undefined
        ? current === undefined
        : Number(expected) === current;
    if (!matches) return {status: 412, body: ''};
    if (body.length > MAX_VALUE_BYTES) return {status: 413, body: ''};
    const stored = store(name, body);
    const dropsConnection = faults.loseAnswers > 0;
    if (dropsConnection) faults.loseAnswers--;
    return {
      status: 200,
      body: '',
      version: stored.version,
      dropsConnection,
    };
  }

  async function watch(name: string, after: number, timeoutMs: number) {
    await new Promise<void>(resolve => {
      const checkForChange = () => {
        if (faults.silentWatches) return;
        if ((newest(name)?.version ?? 0) > after) done();
      };
      const done = () => {
        clearTimeout(timer);
        watchers.delete(checkForChange);
        resolve();
      };
      const timer = setTimeout(done, timeoutMs);
      watchers.add(checkForChange);
      checkForChange();
    });
    const found = newest(name);
    if (!found || found.version <= after) return {status: 304, body: ''};
    return replyOf(found);
  }

  async function handle(req: http.IncomingMessage): Promise<Reply> {
    const url = new URL(req.url ?? '/', 'http://platform');
    const body = await readBody(req);
    if (url.pathname === '/control') return control(body);
    calls++;
    if (faults.down) return {status: 503, body: ''};
    if (faults.slowMs > 0) await new Promise(r => setTimeout(r, faults.slowMs));
    if (url.pathname === '/instances') {
      return {status: 200, body: JSON.stringify(instances)};
    }
    const name = url.pathname.replace(/^\/objects\//, '');
    if (req.method === 'PUT') return put(req, name, body);
    const after = url.searchParams.get('after');
    if (after !== null) {
      const timeoutMs = Number(url.searchParams.get('timeoutMs') ?? 1000);
      return watch(name, Number(after), timeoutMs);
    }
    const found = read(name);
    return found ? replyOf(found) : {status: 404, body: ''};
  }

  function control(body: string): Reply {
    const request = body ? (JSON.parse(body) as Partial<ControlRequest>) : {};
    if (request.instances) instances = request.instances;
    Object.assign(faults, request.faults ?? {});
    return {status: 200, body: JSON.stringify({faults, calls, version})};
  }

  const server = http.createServer((req, res) => {
    handle(req).then(
      reply => send(req.socket, res, reply),
      () => send(req.socket, res, {status: 400, body: ''}),
    );
  });
  await new Promise<void>(resolve =>
    server.listen(port, '127.0.0.1', () => resolve()),
  );
  return {
    port: (server.address() as net.AddressInfo).port,
    faults,
    get calls() {
      return calls;
    },
    get instances() {
      return instances;
    },
    set instances(list) {
      instances = list;
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

interface ControlRequest {
  readonly faults: Partial<PlatformFaults>;
  readonly instances: unknown[];
}

interface Reply {
  readonly status: number;
  readonly body: string;
  readonly version?: number;
  readonly dropsConnection?: boolean;
}

function replyOf(stored: Stored): Reply {
  return {status: 200, body: stored.value, version: stored.version};
}

function send(socket: net.Socket, res: http.ServerResponse, reply: Reply) {
  if (reply.dropsConnection) {
    socket.destroy();
    return;
  }
  const tag = reply.version ? {ETag: `"${reply.version}"`} : {};
  res.writeHead(reply.status, {'Content-Type': 'application/json', ...tag});
  res.end(reply.status === 304 ? undefined : reply.body);
}

async function readBody(req: http.IncomingMessage): Promise<string> {
  let body = '';
  for await (const chunk of req) body += String(chunk);
  return body;
}
