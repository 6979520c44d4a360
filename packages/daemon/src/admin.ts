/** HTTP interface for operators and metrics. */
import {createHash, timingSafeEqual} from 'node:crypto';
import http from 'node:http';
import type net from 'node:net';
import {type Disposable, messageOf} from '@quetzalreel/common';
import type {GroupHandle} from './group-handle.js';
import type {Metrics} from './metrics.js';

/** Dependencies and settings of the interface. */
export interface AdminContext {
  readonly host: string;
  readonly port: number;
  /** Token that operators must send; if empty, no token is required. */
  readonly token: string;
  readonly groups: () => Iterable<GroupHandle>;
  /**
   * Whether the platform's load balancer may route callers to this instance.
   */
  readonly ready: () => boolean;
  /** State of the instance, as a JSON value. */
  readonly state: () => unknown;
  readonly metrics: Metrics;
}

/** A running interface. */
export interface Admin extends Disposable {
  readonly port: number;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_ERROR = 500;
const HTTP_UNAVAILABLE = 503;

const REFUSED: Answer = {
  status: HTTP_UNAUTHORIZED,
  body: {
    error: 'not authorized; send the operator token as Authorization: Bearer',
  },
};

/** Starts the interface. */
export async function startAdmin(context: AdminContext): Promise<Admin> {
  function orderPromotion(path: string): Answer {
    const [, , groupName, target] = path.split('/');
    for (const group of context.groups()) {
      if (group.name !== groupName) continue;
      group.orderPrimaryChange(target ?? '');
      return {status: HTTP_OK, body: {ordered: target}};
    }
    const error = `no group ${groupName}`;
    return {status: HTTP_BAD_REQUEST, body: {error}};
  }

  /** The answer to a path that requires no token. */
  function publicAnswer(path: string): Answer | undefined {
    if (path === '/healthz') return {status: HTTP_OK, body: {ok: true}};
    if (path !== '/readyz') return undefined;
    const ready = context.ready();
    return {status: ready ? HTTP_OK : HTTP_UNAVAILABLE, body: {ready}};
  }

  function answer(req: http.IncomingMessage): Answer {
    const path = req.url ?? '/';
    const publicResult = publicAnswer(path);
    if (publicResult) return publicResult;
    if (!isOperator(req, context.token)) return REFUSED;
    if (path === '/state') return {status: HTTP_OK, body: context.state()};
    if (req.method === 'POST' && path.startsWith('/promote/')) {
      return orderPromotion(path);
    }
    return {status: HTTP_NOT_FOUND, body: {error: `nothing at ${path}`}};
  }

  async function serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    if (req.url === '/metrics') {
      const text = await context.metrics.text();
      const headers = {'Content-Type': context.metrics.contentType};
      res.writeHead(HTTP_OK, headers).end(text);
      return;
    }
    const {status, body} = answer(req);
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(JSON.stringify(body));
  }

  const server = http.createServer((req, res) => {
    serve(req, res).catch(err => {
      if (!res.headersSent) res.writeHead(HTTP_ERROR);
      res.end(JSON.stringify({error: messageOf(err)}));
    });
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

/**
 * Compares digests in constant time, so that the duration reveals nothing about
 * the token.
 */
function isOperator(req: http.IncomingMessage, token: string): boolean {
  if (token === '') return true;
  const given = req.headers.authorization ?? '';
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(given), digest(`Bearer ${token}`));
}
