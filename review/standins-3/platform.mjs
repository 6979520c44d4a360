/**
 * Stand-ins for the platform, as PROTOCOL.md and DEPLOY.md describe it: the store
 * with the promotion call, the entries of databases, and the settings and
 * processes of machines.
 */
import http from 'node:http';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {sleep} from './databases.mjs';

const ROOT = '/quetzalreel/objects/';
export const BEAT_MS = 1200;

/**
 * Starts the store. `promote(service, id)` carries out an order. Reads with StaleOk
 * return what was there `staleMs` before.
 */
export async function startStore(host, promote, note, staleMs = 0) {
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
    const event = {Object: structuredClone(object), Deleted: deleted};
    history.push({at: Date.now(), revision, kind, event});
    for (const wake of [...watchers]) wake();
  }

  function put(kind, name, spec) {
    const before = objectsOf(kind).get(name);
    if (before && JSON.stringify(before.spec) === JSON.stringify(spec)) return before;
    revision++;
    const meta = {
      Name: name,
      Revision: revision,
      Created: before?.meta.Created ?? revision,
      Finalizers: [],
      Deleting: false,
    };
    const object = {meta, spec, status: before?.status ?? null};
    objectsOf(kind).set(name, object);
    changed(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = objectsOf(kind).get(name);
    if (!object) return undefined;
    objectsOf(kind).delete(name);
    revision++;
    changed(kind, object, true);
    return object;
  }

  /** The objects of a kind as they were at a time, and the revision then. */
  function objectsAt(kind, at) {
    const objects = new Map();
    let then = 1;
    for (const item of history) {
      if (item.at > at) break;
      then = item.revision;
      if (item.kind !== kind) continue;
      const {Object: object, Deleted: deleted} = item.event;
      if (deleted) objects.delete(object.meta.Name);
      else objects.set(object.meta.Name, object);
    }
    return {objects, revision: then};
  }

  function answer(res, status, body = null) {
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(JSON.stringify(body));
  }

  function order(req, body, res) {
    const fence = Number(req.headers['fence-token']);
    const {Service: service, Id: id} = body;
    const isOld = fence < (fences.get(service) ?? 0);
    if (!isOld) fences.set(service, fence);
    const status = !isOld && promote(service, id) ? 200 : 409;
    note?.({what: 'order', service, id, fence, holder: req.headers['duty-holder'], status});
    answer(res, status);
  }

  function watch(kind, since, waitMs, res) {
    let isOver = false;
    const wake = () => {
      const events = history
        .filter(item => item.kind === kind && item.revision > since)
        .map(item => item.event);
      if (events.length === 0 && !isOver) return;
      watchers.delete(wake);
      clearTimeout(timer);
      answer(res, 200, {events, CurrentRev: revision});
    };
    const timer = setTimeout(() => {
      isOver = true;
      wake();
    }, waitMs);
    watchers.add(wake);
    res.on('close', () => {
      watchers.delete(wake);
      clearTimeout(timer);
    });
    wake();
  }

  function serve(req, text, res) {
    const url = new URL(req.url, 'http://store');
    const body = text === '' ? undefined : JSON.parse(text);
    if (url.pathname === '/promotion') return order(req, body, res);
    const [kind, name, part] = url.pathname.slice(ROOT.length).split('/').map(decodeURIComponent);
    const found = objectsOf(kind).get(name ?? body?.meta?.Name);
    const wanted = body?.meta?.Revision ?? url.searchParams.get('Revision') ?? undefined;
    const isConflict = wanted !== undefined && found && found.meta.Revision !== Number(wanted);
    switch (req.method) {
      case 'GET': {
        if (url.searchParams.has('Watch'))
          return watch(kind, Number(url.searchParams.get('Watch')), Number(url.searchParams.get('WaitMs')), res);
        const isStale = staleMs > 0 && url.searchParams.get('StaleOk') === '1';
        const then = isStale
          ? objectsAt(kind, Date.now() - staleMs)
          : {objects: objectsOf(kind), revision};
        if (name !== undefined) {
          const read = then.objects.get(name);
          return answer(res, read ? 200 : 404, read);
        }
        const after = url.searchParams.get('after') ?? '';
        const items = [...then.objects.values()]
          .filter(item => item.meta.Name > after)
          .sort((a, b) => (a.meta.Name < b.meta.Name ? -1 : 1));
        return answer(res, 200, {items, HasMore: false, CurrentRev: then.revision});
      }
      case 'POST':
        if (found) return answer(res, 409, found);
        return answer(res, 200, put(kind, body.meta.Name, body.spec));
      case 'PUT':
        if (!found) return answer(res, 404);
        if (isConflict) return answer(res, 409, found);
        if (part === 'status') return answer(res, 200, found);
        return answer(res, 200, put(kind, name, body.spec));
      case 'DELETE':
        if (!found) return answer(res, 404);
        if (isConflict) return answer(res, 409, found);
        return answer(res, 200, remove(kind, name));
      default:
        return answer(res, 405);
    }
  }

  const server = http.createServer((req, res) => {
    let text = '';
    req.on('data', chunk => (text += chunk));
    req.on('end', () => setTimeout(() => serve(req, text, res), 4));
  });
  await new Promise(resolve => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    read: (kind, name) => objectsOf(kind).get(name)?.spec,
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Keeps the entries of the databases of a service. */
export function registerDatabases(store, service, databases, zones, slots, host) {
  const state = new Map();
  const write = member => {
    const kept = state.get(member.id) ?? {born: Date.now(), seq: 0, zone: zones[state.size % zones.length]};
    state.set(member.id, kept);
    store.put('servers', member.id, {
      Service: service,
      Address: `${host}:${member.port}`,
      Zone: kept.zone,
      Version: 'v1',
      Slots: slots,
      State: 'ready',
      ColdLeftMs: 0,
      DbRole: member.role,
      SeqNo: ++kept.seq,
      born: kept.born,
    });
  };
  const silent = new Map();
  const beat = () => {
    for (const member of databases.members.values()) {
      if (member.alive) write(member);
      else {
        silent.set(member.id, (silent.get(member.id) ?? 0) + 1);
        if (silent.get(member.id) === 3) store.remove('servers', member.id);
      }
    }
  };
  beat();
  const timer = setInterval(beat, BEAT_MS);
  return {
    /** A change of a role is reported at once. */
    noteRoles() {
      for (const member of databases.members.values()) if (member.alive) write(member);
    },
    stop: () => clearInterval(timer),
  };
}

/** The words of the deploy file's `run` command. */
function runCommand(root) {
  const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

const PORTS = {front: 8784, health: 8785, control: 8782};

/**
 * Starts machines with the command of the deploy file. Each has an address of its
 * own. `params` are added to the settings' `ContractParams`.
 */
export function startMachines(root, names, {net, zones, storeAddress, params = {}}) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-3-'));
  const [program, ...args] = runCommand(root);
  const machines = names.map((name, at) => {
    const ip = `${net}.${at + 10}`;
    const file = path.join(folder, `${name}.json`);
    const zone = zones[at % zones.length];
    fs.writeFileSync(
      file,
      JSON.stringify({
        NodeName: name,
        Role: 'quetzalreeld',
        MachineClass: 'front',
        Serves: ['front'],
        Ip: ip,
        Zone: zone,
        Region: 'nordeste',
        Zones: Object.fromEntries(zones.map(item => [item, 'nordeste'])),
        ListenAddrs: {
          Front: `${ip}:${PORTS.front}`,
          HealthAddr: `${ip}:${PORTS.health}`,
          ControlAddr: `${ip}:${PORTS.control}`,
        },
        InternalPorts: [7440, 7455],
        Seeds: [],
        Bootstrap: true,
        Limits: {CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4300, LinkMbps: 1000, DiskMb: 0},
        DataDir: null,
        Discovery: 'platform',
        EntryKind: 'vip',
        HeartbeatMs: BEAT_MS,
        ContractParams: {
          SeedLagS: 3,
          AddrReuseS: 2,
          ContactMs: 4000,
          AckMs: 5000,
          CatchupS: 4,
          DrainMs: 7000,
          GraceS: 6,
          LossSlackMs: 200,
          ConfigApplyMs: 3000,
          RevertSlackMs: 250,
          OuterBoundMs: 12000,
          RecoveryS: 12,
          RequireFence: true,
          ThawSlackMs: 300,
          ...params,
        },
        platform: {
          Address: storeAddress,
          form: 'objects',
          WritesPerS: 400,
          ReadsPerS: 2000,
          HistoryS: 20,
          ValueBytes: 1048576,
          TtlMinMs: 1000,
        },
        CloudApi: {Address: storeAddress, RatePerS: 50, Duties: ['promotion'], DutyPerS: 50},
      }),
    );
    const machine = {name, ip, zone, port: PORTS.front, child: undefined, log: path.join(folder, `${name}.log`)};
    machine.start = () => {
      const log = fs.openSync(machine.log, 'a');
      machine.child = spawn(program, args, {
        cwd: root,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG ?? 'C',
          QUETZALREEL_BOOT: file,
          QUETZALREEL_METRICS_PORT: '9464',
        },
        stdio: ['ignore', log, log],
      });
      fs.closeSync(log);
    };
    machine.start();
    return machine;
  });

  function isReady({ip}) {
    return new Promise(resolve => {
      const req = http.get({host: ip, port: PORTS.health, path: '/quetzalreel/readiness', timeout: 500, agent: false}, res => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });
  }

  return {
    machines,
    folder,
    isReady,
    /** Whether all machines become ready in `ms`. */
    async ready(ms) {
      const until = Date.now() + ms;
      while (Date.now() < until) {
        const all = await Promise.all(machines.map(isReady));
        if (all.every(Boolean)) return true;
        await sleep(100);
      }
      return false;
    },
    stop() {
      for (const {child} of machines) if (child.exitCode === null) child.kill('SIGKILL');
      if (!process.env.KEEP_LOGS) fs.rmSync(folder, {recursive: true, force: true});
    },
  };
}
