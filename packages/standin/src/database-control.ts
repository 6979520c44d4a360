/** HTTP and JSON interface to set faults of a stand-in database. */
import http from 'node:http';
import type net from 'node:net';
import type {Database} from './database.js';
import type {DatabaseServer} from './database-server.js';
import type {DatabaseFaults} from './faults.js';

/** Faults to set; omitted fields keep their values. */
export interface FaultRequest {
  readonly lagMs?: number;
  readonly serviceMs?: number;
  readonly distanceMs?: number;
  readonly loseAnswers?: number;
  readonly cut?: string[];
  readonly cutAnswers?: string[];
  /** Drops all further traffic of the connections open now. */
  readonly silence?: boolean;
  /** Closes all connections and refuses new ones until `recover`. */
  readonly fail?: boolean;
  readonly recover?: boolean;
}

/** Starts the interface on `port`, or a free port if 0; returns the port. */
export async function databaseControl(
  db: Database,
  server: DatabaseServer,
  faults: DatabaseFaults,
  port: number,
): Promise<number> {
  const apply = async (request: FaultRequest) => {
    const {cut, cutAnswers, silence, fail, recover, ...delays} = request;
    Object.assign(faults, delays);
    if (cut) faults.cut = new Set(cut);
    if (cutAnswers) faults.cutAnswers = new Set(cutAnswers);
    if (silence) faults.silencedBefore = performance.now();
    if (fail) await server.fail();
    if (recover) await server.recover();
  };
  const state = () => ({
    status: db.status(),
    length: db.log.length,
    connections: server.connections,
    mostConnections: server.mostConnections,
    running: server.running,
    waiting: server.waiting,
  });
  const control = http.createServer((req, res) => {
    void (async () => {
      let body = '';
      for await (const chunk of req) body += String(chunk);
      try {
        if (body) await apply(JSON.parse(body) as FaultRequest);
        res.end(JSON.stringify(state()));
      } catch (err) {
        res.statusCode = 400;
        res.end(JSON.stringify({error: (err as Error).message}));
      }
    })();
  });
  await new Promise<void>(resolve =>
    control.listen(port, '127.0.0.1', () => resolve()),
  );
  control.unref();
  return (control.address() as net.AddressInfo).port;
}
