/**
 * Stand-in for a service: databases with one log, as PROTOCOL.md, "Databases",
 * says. Replicas receive commits over the network and apply them later; with
 * `sync` 1 a commit is acknowledged once one replica has received it.
 */
import net from 'node:net';
import {lineReader, now, sleep, split} from './common.mjs';

const HEARTBEAT_MS = 1200;
/** After its `DrainMs` a database serves a little longer before it exits. */
const EXIT_SLACK_MS = 400;
/** A connection whose remote end is unreachable is dropped after this time. */
const LINGER_MS = 3000;

/**
 * Calls functions after delays that may be parts of a millisecond, in the order
 * of their times.
 */
function preciseTimers() {
  const due = [];
  let turning = false;
  function turn() {
    const at = now();
    while (due.length > 0 && due[0].at <= at) due.shift().call();
    turning = due.length > 0;
    if (turning) {
      if (due[0].at - now() > 2) setTimeout(turn, 1);
      else setImmediate(turn);
    }
  }
  return (ms, call) => {
    const item = {at: now() + ms, call};
    let i = due.length;
    while (i > 0 && due[i - 1].at > item.at) i--;
    due.splice(i, 0, item);
    if (!turning) {
      turning = true;
      setImmediate(turn);
    }
  };
}
const after = preciseTimers();

/** Starts a service. */
export function startGroup(options) {
  const {record, name, sync = 0, lagMs = 60, promoteMs = 1000} = options;
  const {slots = 3, queue = 24, maxConns = 22, drainMs = 7000} = options;
  const {handshakeMs = 12, workMs = () => 6, store} = options;
  const {inZoneMs = 0.2, crossZoneMs = 0.5} = options;
  const {rowsOf = () => undefined} = options;
  const members = new Map();
  /** Commits that a primary has acknowledged: `{id, term, number}`. */
  const acked = [];
  /** Statements of clients that databases have run. */
  const runs = [];
  /** The databases that each statement has reached, by its id. */
  const passed = new Map();
  /** What a promotion lacked: `{endpoint, missing}`. */
  const promotions = [];
  let promoting = Promise.resolve();

  const lastOf = log => log[log.length - 1];
  const textOf = (item, term) =>
    item ? `${item.term}.${item.number}` : `${term}.0`;

  /** One way between two databases, in milliseconds. */
  const wayMs = (a, b) => (a.zone === b.zone ? inZoneMs : crossZoneMs);

  async function addMember({id, zone, role = 'replica', from}) {
    const member = {
      id,
      zone,
      isPrimary: role === 'primary',
      term: from?.term ?? 1,
      log: from ? from.log.slice() : [],
      applied: from ? from.log.length : 0,
      draining: false,
      up: true,
      deaf: false,
      busy: 0,
      waiting: [],
      sockets: new Set(),
      seqNo: 0,
      born: Date.now(),
    };
    members.set(id, member);
    const server = net.createServer(socket => serve(member, socket));
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
    member.server = server;
    member.address = `127.0.0.1:${server.address().port}`;
    writeEntry(member);
    member.heart = setInterval(() => writeEntry(member), HEARTBEAT_MS);
    return member;
  }

  function writeEntry(member) {
    if (!member.up) return;
    member.seqNo++;
    store().put('servers', member.id, {
      Service: name,
      Address: member.address,
      Zone: member.zone,
      Version: 'v1',
      Slots: slots,
      State: member.draining ? 'draining' : 'ready',
      ColdLeftMs: 0,
      DbRole: member.isPrimary ? 'primary' : 'replica',
      SeqNo: member.seqNo,
      born: member.born,
    });
  }

  /** Runs `call` in a slot after `ms`; false if the queue is full. */
  function inSlot(member, ms, call) {
    if (member.busy >= slots) {
      if (member.waiting.length >= queue) return false;
      member.waiting.push({ms, call});
      return true;
    }
    member.busy++;
    after(ms, () => {
      member.busy--;
      const next = member.waiting.shift();
      if (next) inSlot(member, next.ms, next.call);
      call();
    });
    return true;
  }

  function serve(member, socket) {
    const session = {
      values: {},
      prepared: new Map(),
      tx: undefined,
      started: false,
      silent: false,
      closed: false,
      todo: [],
      isRunning: false,
    };
    socket.session = session;
    member.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      member.sockets.delete(socket);
      // A connection that is closed rolls back.
      session.closed = true;
      session.tx = undefined;
    });
    const read = lineReader();
    socket.on('data', chunk => {
      if (session.silent) return;
      session.todo.push(...read(chunk));
      void next();
    });
    async function next() {
      if (session.isRunning) return;
      session.isRunning = true;
      while (session.todo.length > 0 && !session.closed)
        await handle(session.todo.shift());
      session.isRunning = false;
    }
    function send(text) {
      if (!session.silent && !session.closed) socket.write(text, 'latin1');
    }
    async function handle(text) {
      if (!session.started) return start(text);
      const [word, rest] = split(text);
      if (word === 'TERMINATE') return void socket.end();
      const [id, statement] = split(rest);
      if (id !== '-') passed.set(id, new Set([...(passed.get(id) ?? []), member.id]));
      const answer = await run(member, session, id, statement);
      if (answer === undefined) {
        socket.destroy();
        return;
      }
      const state = !session.tx ? 'I' : session.tx.failed ? 'E' : 'T';
      const at = member.log[member.applied - 1];
      send(`${answer}READY ${state} ${textOf(at, 1)}\r\n`);
    }
    async function start(text) {
      const [word, service, , id] = text.split(' ');
      if (word !== 'STARTUP' || service !== name || (id && id !== member.id)) {
        socket.end(`ERROR WRONGNODE ${member.id}\r\n`);
        return;
      }
      if (member.sockets.size > maxConns) {
        socket.end(`ERROR CONNLIMIT ${member.id}\r\n`);
        return;
      }
      await new Promise(done => {
        if (!inSlot(member, handshakeMs, done)) done();
      });
      session.started = true;
      const at = member.log[member.applied - 1];
      send(`READY I ${textOf(at, 1)}\r\n`);
    }
  }

  function statusRow(member) {
    const role = member.isPrimary ? 'primary' : 'replica';
    const end = textOf(lastOf(member.log), member.term);
    return `DATAROW ${role} ${member.term} ${end} ${member.term} 0 ${member.busy} ${member.sockets.size}\r\n`;
  }

  const isAt = (position, wanted) => {
    const [term, number] = position.split('.').map(Number);
    const [wantedTerm, wantedNumber] = wanted.split('.').map(Number);
    return term > wantedTerm || (term === wantedTerm && number >= wantedNumber);
  };

  /** Returns the answer without READY; undefined if the connection ends. */
  async function run(member, session, id, fullText) {
    const done = 'COMPLETE -\r\n';
    const fail = code => {
      if (session.tx) session.tx.failed = true;
      return `ERROR ${code} ${member.id}\r\n`;
    };
    let text = fullText;
    if (text.startsWith('WAITLSN ')) {
      const [wanted, inner] = split(text.slice(8));
      const at = textOf(member.log[member.applied - 1], 1);
      if (!isAt(at, wanted)) return fail('LAGGING');
      text = inner;
    }
    if (session.tx?.failed && !/^(ROLLBACK|COMMIT)$/.test(text))
      return fail('MALFORMED');
    const [word, rest] = split(text);
    switch (word) {
      case 'BEGIN':
        if (rest === '' && !member.isPrimary) return fail('READONLY');
        session.tx = {readOnly: rest === 'READ', writes: [], failed: false};
        session.tx.term = member.term;
        return done;
      case 'ROLLBACK':
        session.tx = undefined;
        return done;
      case 'SET': {
        const [key, value] = split(rest);
        session.values = {...session.values, [key]: value};
        return done;
      }
      case 'PARSE': {
        const [key, what] = split(rest);
        session.prepared.set(key, what);
        return done;
      }
      case 'CLOSE':
        session.prepared.delete(rest);
        return done;
      case 'DISCARD':
        session.values = {};
        session.prepared.clear();
        return done;
      case 'STATUS': {
        const taken = await inTime(member, 1);
        return taken ? statusRow(member) + done : fail('BUSY');
      }
      case 'STEPDOWN':
        if (member.term < Number(rest)) member.isPrimary = false;
        return statusRow(member) + done;
      case 'COMMIT':
        return commit(member, session, id, fail);
    }
    return statement(member, session, id, word, rest, text, fail);
  }

  const inTime = (member, ms) =>
    new Promise(resolve => {
      if (!inSlot(member, ms, () => resolve(true))) resolve(false);
    });

  const signature = (member, id) => `COMPLETE ${member.id}.${id}\r\n`;

  function note(member, session, id, text) {
    const at = textOf(member.log[member.applied - 1], 1);
    runs.push({endpoint: member.id, id, text, at: now(), position: at, values: session.values});
    record.note(`run ${member.id} ${id} ${text} values ${JSON.stringify(session.values)} at ${at}`);
  }

  async function commit(member, session, id, fail) {
    const {tx} = session;
    if (!tx || tx.failed) {
      session.tx = undefined;
      return fail('MALFORMED');
    }
    if (!(await inTime(member, workMs('COMMIT')))) return fail('BUSY');
    if (session.closed) return undefined;
    session.tx = undefined;
    const lost = !member.isPrimary || member.term !== tx.term;
    if (tx.writes.length > 0 && lost) return fail('READONLY');
    note(member, session, id, 'COMMIT');
    if (tx.writes.length > 0 && !(await append(member, id))) return undefined;
    return signature(member, id);
  }

  async function statement(member, session, id, word, rest, text, fail) {
    let isWrite = word === 'WRITE';
    let item = split(rest)[0];
    if (word === 'EXECUTE') {
      const [prepared, args] = split(rest);
      const what = session.prepared.get(prepared);
      if (what === undefined) return fail('NOSTMT');
      isWrite = what.startsWith('WRITE');
      item = split(args)[0];
    }
    const needsPrimary = session.tx ? !session.tx.readOnly : isWrite;
    const isLost = () =>
      !member.isPrimary || (session.tx && session.tx.term !== member.term);
    if (needsPrimary && isLost()) return fail('READONLY');
    const tx = session.tx;
    if (!(await inTime(member, workMs(word)))) return fail('BUSY');
    if (session.closed || session.tx !== tx) return undefined;
    if (needsPrimary && isLost()) return fail('READONLY');
    note(member, session, id, text);
    if (!isWrite) {
      const rows = rowsOf(item) ?? [`row-of-${item}`];
      return rows.map(row => `DATAROW ${row}\r\n`).join('') + signature(member, id);
    }
    if (tx) tx.writes.push(item);
    else if (!(await append(member, id))) return undefined;
    return signature(member, id);
  }

  /**
   * Adds a commit to the primary's log and sends it to the replicas. Resolves
   * to whether it may be acknowledged; with `sync` once one has received it.
   */
  function append(primary, id) {
    const number = (lastOf(primary.log)?.number ?? 0) + 1;
    const {term} = primary;
    const entry = {id, term, number};
    primary.log.push(entry);
    primary.applied = primary.log.length;
    return new Promise(resolve => {
      const acknowledge = () => {
        // A primary that has lost the lead acknowledges nothing more.
        const leads = primary.up && primary.isPrimary && primary.term === term;
        if (leads) acked.push(entry);
        resolve(leads);
      };
      primary.unconfirmed ??= new Map();
      primary.unconfirmed.set(entry, () => resolve(false));
      let received = 0;
      for (const replica of members.values()) {
        if (replica === primary || replica.isPrimary || replica.deaf) continue;
        after(wayMs(primary, replica), () => {
          if (!receive(replica, primary, entry)) return;
          after(wayMs(primary, replica), () => {
            received++;
            if (received === sync) acknowledge();
          });
        });
      }
      if (sync === 0) acknowledge();
    });
  }

  /** Brings a replica's log to `entry`; whether it has it then. */
  function receive(replica, primary, entry) {
    if (!replica.up || replica.isPrimary || replica.deaf) return false;
    if (replica.term > entry.term) return false;
    const at = primary.log.indexOf(entry);
    if (at < 0) return false;
    replica.term = entry.term;
    for (let i = replica.log.length; i <= at; i++)
      replica.log.push(primary.log[i]);
    const count = replica.log.length;
    after(lagMs, () => {
      replica.applied = Math.max(
        replica.applied,
        Math.min(count, replica.log.length),
      );
    });
    return true;
  }

  const primaryOf = () => {
    for (const member of members.values()) if (member.isPrimary) return member;
    return undefined;
  };

  /** Makes `id` the primary some hundred ms after the call. */
  function promote(id) {
    const next = members.get(id);
    if (!next?.up) return Promise.resolve(false);
    if (next.isPrimary) return Promise.resolve(true);
    promoting = promoting.then(async () => {
      await sleep(promoteMs);
      if (next.up && !next.isPrimary) lead(next);
    });
    return Promise.resolve(true);
  }

  function lead(next) {
    const old = primaryOf();
    let term = 0;
    for (const member of members.values()) term = Math.max(term, member.term);
    const has = new Set(next.log);
    const missing = acked.filter(entry => !has.has(entry));
    promotions.push({endpoint: next.id, at: now(), missing});
    const end = textOf(lastOf(next.log), next.term);
    record.note(
      `promoted ${next.id} at ${end}; log of ${old?.id ?? 'nobody'} ends at ` +
        `${old ? textOf(lastOf(old.log), old.term) : '-'}; acknowledged commits ` +
        `that it lacks: ${missing.map(({id, term: t, number}) => `${id}=${t}.${number}`).join(' ') || 'none'}`,
    );
    // Counted once: the next promotions would report them again.
    for (const entry of missing) acked.splice(acked.indexOf(entry), 1);
    if (old) {
      old.isPrimary = false;
      for (const cut of old.unconfirmed?.values() ?? []) cut();
    }
    next.isPrimary = true;
    next.term = term + 1;
    next.applied = next.log.length;
    for (const member of members.values()) {
      if (member === next || !member.up) continue;
      // Those that were ahead are rolled back.
      member.log = next.log.slice();
      member.applied = Math.min(member.applied, member.log.length);
      member.term = next.term;
      const count = member.log.length;
      after(lagMs, () => {
        member.applied = Math.max(member.applied, Math.min(count, member.log.length));
      });
    }
    for (const member of members.values()) writeEntry(member);
  }

  function stop(member) {
    member.up = false;
    clearInterval(member.heart);
    member.server.close();
    for (const socket of member.sockets) socket.destroy();
    members.delete(member.id);
  }

  return {
    name,
    members,
    acked,
    runs,
    passed,
    passedTo: id => passed.get(id) ?? new Set(),
    promotions,
    addMember,
    promote,
    primaryOf,
    /** A planned shutdown: draining, `DrainMs`, then the exit. */
    async release(id) {
      const member = members.get(id);
      member.draining = true;
      writeEntry(member);
      record.note(`draining ${id}`);
      await sleep(drainMs + EXIT_SLACK_MS);
      const wasPrimary = member.isPrimary;
      stop(member);
      store().remove('servers', id);
      record.note(`exited ${id}${wasPrimary ? ' while it was the primary' : ''}`);
    },
    /** Lets all open connections go silent for good; new ones work. */
    goSilent(id) {
      const member = members.get(id);
      let count = 0;
      for (const socket of member.sockets) {
        const {session} = socket;
        if (session.silent) continue;
        session.silent = true;
        count++;
        // The database drops what it can't reach, which rolls back; the far
        // side hears nothing of it.
        setTimeout(() => {
          member.sockets.delete(socket);
          session.closed = true;
          session.tx = undefined;
        }, LINGER_MS).unref();
      }
      record.note(`silent ${count} connections of ${id}`);
      return count;
    },
    end() {
      for (const member of [...members.values()]) stop(member);
    },
  };
}
