/**
 * Stand-in for the users' platform: the store of objects (PROTOCOL.md, "The
 * platform's metadata store") and the call that promotes a database
 * ("Singleton duties"), with fences that are checked.
 */
import http from 'node:http';
import {sleep} from './common.mjs';

const ROOT = '/quetzalreel/objects/';
/** Time of an answer, in milliseconds; from the users' sheets. */
const ANSWER_MS = 4;
const PAGE = 500;

/** Starts the store; `promote(service, id)` resolves to whether it was done. */
export async function startPlatform({record, promote}) {
  const kinds = new Map();
  const history = [];
  const watchers = new Set();
  const fences = new Map();
  let revision = 1;

  const objectsOf = kind => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  function changed(kind, object, deleted) {
    history.push({revision, kind, event: {Object: object, Deleted: deleted}});
    for (const wake of [...watchers]) wake();
  }

  function put(kind, name, spec) {
    const known = objectsOf(kind).get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec))
      return known;
    revision++;
    const meta = {
      Name: name,
      Revision: revision,
      Created: known?.meta.Created ?? revision,
      Finalizers: [],
      Deleting: false,
    };
    const object = {meta, spec, status: null};
    objectsOf(kind).set(name, object);
    changed(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = objectsOf(kind).get(name);
    if (!object) return;
    objectsOf(kind).delete(name);
    revision++;
    changed(kind, object, true);
  }

  function answer(res, status, body = null) {
    if (res.destroyed) return;
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(JSON.stringify(body));
  }

  function watch(kind, since, waitMs, res) {
    let over = false;
    const respond = () => {
      const events = [];
      for (const change of history) {
        if (change.kind === kind && change.revision > since)
          events.push(change.event);
      }
      if (events.length === 0 && !over) return;
      watchers.delete(respond);
      clearTimeout(timer);
      answer(res, 200, {events, CurrentRev: revision});
    };
    const timer = setTimeout(() => {
      over = true;
      respond();
    }, waitMs);
    timer.unref();
    res.on('close', () => {
      watchers.delete(respond);
      clearTimeout(timer);
    });
    watchers.add(respond);
    respond();
  }

  function list(kind, after, res) {
    const names = [...objectsOf(kind).keys()].sort().filter(n => n > after);
    const items = names.slice(0, PAGE).map(name => objectsOf(kind).get(name));
    const HasMore = names.length > PAGE;
    answer(res, 200, {items, HasMore, CurrentRev: revision});
  }

  function write(method, kind, name, body, query, res) {
    const objects = objectsOf(kind);
    const known = objects.get(method === 'POST' ? body.meta.Name : name);
    if (method === 'POST') {
      if (known) answer(res, 409, known);
      else answer(res, 200, put(kind, body.meta.Name, body.spec));
      return;
    }
    if (!known) return answer(res, 404);
    const wanted = body?.meta?.Revision ?? query.get('Revision');
    if (wanted !== undefined && wanted !== null) {
      if (Number(wanted) !== known.meta.Revision) return answer(res, 409, known);
    }
    if (method === 'PUT') return answer(res, 200, put(kind, name, body.spec));
    remove(kind, name);
    answer(res, 200, known);
  }

  async function order(req, body, res) {
    const fence = Number(req.headers['fence-token']);
    const holder = String(req.headers['duty-holder']);
    const {Service: service, Id: id} = body;
    const seen = fences.get(service) ?? 0;
    record.note(`order ${service} ${id} by ${holder} fence ${fence}`);
    if (fence < seen) return answer(res, 409);
    fences.set(service, fence);
    answer(res, (await promote(service, id)) ? 200 : 409);
  }

  async function serve(req, text, res) {
    const url = new URL(req.url, 'http://store');
    const body = text === '' ? undefined : JSON.parse(text);
    await sleep(ANSWER_MS);
    if (url.pathname === '/promotion') {
      if (api.isCallDown) return void req.socket.resetAndDestroy();
      return order(req, body, res);
    }
    const [kind, name] = url.pathname
      .slice(ROOT.length)
      .split('/')
      .map(decodeURIComponent);
    const query = url.searchParams;
    if (req.method !== 'GET')
      return write(req.method, kind, name, body, query, res);
    if (query.has('Watch')) {
      const waitMs = Math.min(30000, Number(query.get('WaitMs') ?? 0));
      return watch(kind, Number(query.get('Watch')), waitMs, res);
    }
    if (name === undefined) return list(kind, query.get('after') ?? '', res);
    const object = objectsOf(kind).get(name);
    answer(res, object ? 200 : 404, object);
  }

  const server = http.createServer((req, res) => {
    const parts = [];
    req.on('data', part => parts.push(part));
    req.on('end', () => {
      const text = Buffer.concat(parts).toString('utf8');
      serve(req, text, res).catch(err => {
        record.note(`store: ${err.stack}`);
        answer(res, 503);
      });
    });
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const api = {
    address: `127.0.0.1:${server.address().port}`,
    put,
    remove,
    /** Whether the promotion call is down: its connections are reset. */
    isCallDown: false,
    end() {
      server.close();
      server.closeAllConnections();
    },
  };
  return api;
}
