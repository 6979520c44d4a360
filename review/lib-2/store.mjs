// The platform's store, and POST /promotion, as PROTOCOL.md tells.
import http from 'node:http';

/** Most objects and bytes of a page of a list. */
const PAGE_OBJECTS = 500;
const PAGE_BYTES = 1_000_000;
const OBJECTS = '/quetzalreel/objects/';

export async function startStore(ip) {
  const kinds = new Map();
  const history = [];
  const watchers = new Set();
  let revision = 10;

  const kindOf = kind => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  function change(kind, object, deleted) {
    history.push({kind, revision, event: {Object: object, Deleted: deleted}});
    for (const watcher of [...watchers]) watcher();
  }

  function put(kind, name, spec) {
    revision++;
    const known = kindOf(kind).get(name);
    const object = {
      meta: {
        Name: name,
        Revision: revision,
        Created: known?.meta.Created ?? revision,
        Finalizers: [],
        Deleting: false,
      },
      spec,
      status: null,
    };
    kindOf(kind).set(name, object);
    change(kind, object, false);
    return object;
  }

  function answer(res, status, body = null) {
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(JSON.stringify(body));
  }

  function watch(kind, since, waitMs, res) {
    const timer = setTimeout(() => respond(true), waitMs);
    function respond(isLate) {
      const events = history
        .filter(item => item.kind === kind && item.revision > since)
        .map(({event}) => event);
      if (events.length === 0 && !isLate) return;
      watchers.delete(respond);
      clearTimeout(timer);
      answer(res, 200, {events, CurrentRev: revision});
    }
    watchers.add(respond);
    respond(false);
  }

  /** A page, of as many objects or bytes as PROTOCOL.md tells; of one at least. */
  function list(kind, after, res) {
    const rest = [...kindOf(kind).values()]
      .filter(({meta}) => meta.Name > after)
      .sort((a, b) => (a.meta.Name < b.meta.Name ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const object of rest) {
      bytes += JSON.stringify(object).length;
      if (items.length > 0 && (items.length >= PAGE_OBJECTS || bytes > PAGE_BYTES)) break;
      items.push(object);
    }
    answer(res, 200, {
      items,
      HasMore: items.length < rest.length,
      CurrentRev: revision,
    });
  }

  function write(method, kind, name, body, res) {
    const target = method === 'POST' ? body.meta.Name : name;
    const known = kindOf(kind).get(target);
    const wanted = body.meta?.Revision;
    if (method === 'POST' && known) return answer(res, 409, known);
    if (method === 'PUT' && !known) return answer(res, 404);
    if (wanted !== undefined && known && wanted !== known.meta.Revision)
      return answer(res, 409, known);
    return answer(res, 200, put(kind, target, body.spec));
  }

  function remove(kind, name, wanted, res) {
    const known = kindOf(kind).get(name);
    if (!known) return answer(res, 404);
    if (wanted !== null && Number(wanted) !== known.meta.Revision)
      return answer(res, 409, known);
    kindOf(kind).delete(name);
    revision++;
    change(kind, known, true);
    return answer(res, 200, known);
  }

  function serve(req, text, res) {
    const url = new URL(req.url, 'http://store');
    if (url.pathname === '/promotion') return answer(res, 200);
    const [kind, name] = url.pathname.slice(OBJECTS.length).split('/').map(decodeURIComponent);
    const {searchParams: query} = url;
    if (req.method === 'DELETE') return remove(kind, name, query.get('Revision'), res);
    if (req.method !== 'GET') return write(req.method, kind, name, JSON.parse(text), res);
    if (query.has('Watch'))
      return watch(kind, Number(query.get('Watch')), Number(query.get('WaitMs')), res);
    if (name !== undefined) {
      const object = kindOf(kind).get(name);
      return answer(res, object ? 200 : 404, object);
    }
    return list(kind, query.get('after') ?? '', res);
  }

  const server = http.createServer((req, res) => {
    let text = '';
    req.on('data', part => (text += part));
    req.on('end', () => serve(req, text, res));
  });
  await new Promise(resolve => server.listen(0, ip, resolve));
  return {address: `${ip}:${server.address().port}`, put};
}
