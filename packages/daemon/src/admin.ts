/** The operators' interface and the metrics, over HTTP. */
import http from 'node:http';
import type net from 'node:net';
import type {Disposable} from '@quetzalreel/common';
import type {Configuration} from '@quetzalreel/config';
import {formatPosition} from '@quetzalreel/position';
import type {GroupHandle} from './group-actor.js';

/** What the interface tells about. */
export interface AdminContext {
  readonly host: string;
  readonly port: number;
  readonly instance: string;
  readonly configuration: () => Configuration | undefined;
  readonly groups: () => Iterable<GroupHandle>;
  readonly ready: () => boolean;
}

/** A running interface. */
export interface Admin extends Disposable {
  readonly port: number;
}

/** Reads placed so far over all groups, by the role of the endpoint. */
function totalReads(groups: Iterable<GroupHandle>) {
  const total = {primary: 0, replica: 0};
  for (const {reads} of groups) {
    total.primary += reads.primary;
    total.replica += reads.replica;
  }
  return total;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** Starts the interface. */
export async function startAdmin(context: AdminContext): Promise<Admin> {
  function groupState(group: GroupHandle) {
    const {view, failover, waiting, held} = group.state;
    const endpoints = [...view.endpoints.values()].map(endpoint => ({
      name: endpoint.cfg.name,
      reach: endpoint.reach,
      role: endpoint.status?.role,
      term: endpoint.status?.term,
      position: endpoint.status && formatPosition(endpoint.status.last),
      busy: endpoint.busy,
      capacity: endpoint.capacity,
    }));
    return {
      name: group.name,
      step: failover.step,
      waiting: waiting.length,
      held: held.length,
      endpoints,
    };
  }

  function order(path: string): [number, unknown] {
    const [, , groupName, target] = path.split('/');
    for (const group of context.groups()) {
      if (group.name !== groupName) continue;
      group.order(target ?? '');
      return [HTTP_OK, {ordered: target}];
    }
    return [HTTP_BAD_REQUEST, {error: `no group ${groupName}`}];
  }

  function answer(req: http.IncomingMessage): [number, unknown] {
    const path = req.url ?? '/';
    if (path === '/healthz') return [HTTP_OK, {ok: true}];
    if (path === '/readyz') {
      const ready = context.ready();
      return [ready ? HTTP_OK : HTTP_UNAVAILABLE, {ready}];
    }
    if (path === '/state') {
      return [
        HTTP_OK,
        {
          instance: context.instance,
          generation: context.configuration()?.generation,
          groups: [...context.groups()].map(groupState),
          reads: totalReads(context.groups()),
        },
      ];
    }
    if (req.method === 'POST' && path.startsWith('/promote/')) {
      return order(path);
    }
    return [HTTP_NOT_FOUND, {error: `nothing at ${path}`}];
  }

  const server = http.createServer((req, res) => {
    const [status, body] = answer(req);
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(JSON.stringify(body));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(context.port, context.host, () => resolve());
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    dispose: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
