/**
 * Stand-ins for the databases of one service, as PROTOCOL.md describes them: a
 * primary and replicas with a log, three slots each, and replication that
 * delivers and applies with a delay.
 */
import net from 'node:net';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Calls `onLine` with each line that arrives on the socket. */
export function readLines(socket, onLine) {
  let rest = '';
  socket.setEncoding('latin1');
  socket.on('data', chunk => {
    const lines = (rest + chunk).split('\r\n');
    rest = lines.pop();
    for (const line of lines) onLine(line);
  });
}

export function splitWord(text) {
  const at = text.indexOf(' ');
  return at < 0 ? [text, ''] : [text.slice(0, at), text.slice(at + 1)];
}

function compare(a, b) {
  return a.term - b.term || a.number - b.number;
}

function parsePosition(text) {
  const [term, number] = text.split('.').map(Number);
  return {term, number};
}

/**
 * Starts the databases `ids`, the first as primary. Options: service, host,
 * slots, maxConns, handshakeMs, readMs, writeMs, receiveMs, applyMs, syncReplicas.
 */
export async function startService(ids, options) {
  const {service, host, slots, syncReplicas, note} = options;
  const members = new Map();
  const promotions = [];
  let lastConnection = 0;
  let signatures = 0;

  function positionAt(log, length) {
    const last = log[length - 1];
    return last ? {term: last.term, number: last.number} : {term: 1, number: 0};
  }

  function positionText(log, length) {
    const {term, number} = positionAt(log, length);
    return `${term}.${number}`;
  }

  function primary() {
    return [...members.values()].find(item => item.role === 'primary');
  }

  /** Sends the log of `from` up to now to one replica. */
  function deliver(from, to) {
    const {term} = from;
    const log = from.log.slice();
    setTimeout(() => {
      if (!to.alive || to.role !== 'replica' || to.deaf) return;
      // What a primary sent before it was replaced arrives no more.
      if (to.term > term || from.role !== 'primary') return;
      if (to.term === term && to.log.length >= log.length) return;
      to.term = term;
      const shared = to.log.findIndex((item, at) => item !== log[at]);
      if (shared >= 0) to.applied = Math.min(to.applied, shared);
      to.log = log;
      setTimeout(() => {
        if (to.log.length < log.length) return;
        if (to.log[log.length - 1] !== log[log.length - 1]) return;
        to.applied = Math.max(to.applied, log.length);
      }, to.applyMs).unref();
      for (const wake of [...from.waiting]) wake();
    }, options.receiveMs).unref();
  }

  function replicate(from) {
    for (const to of members.values()) if (to !== from) deliver(from, to);
  }

  function receivedBy(record) {
    let count = 0;
    for (const {role, log, alive} of members.values())
      if (alive && role === 'replica' && log.includes(record)) count++;
    return count;
  }

  /** Appends a commit; resolves to false if it is not acknowledged. */
  async function commit(member, writes) {
    const records = writes.map(write => ({
      ...write,
      term: member.term,
      number: positionAt(member.log, member.log.length).number + 1,
    }));
    // One commit, one number.
    for (const record of records) record.number = records[0].number;
    member.log.push(...records);
    member.applied = member.log.length;
    const last = member.log[member.log.length - 1];
    replicate(member);
    while (receivedBy(last) < syncReplicas) {
      await new Promise(resolve => {
        const wake = () => {
          member.waiting.delete(wake);
          resolve();
        };
        member.waiting.add(wake);
        setTimeout(() => {
          replicate(member);
          wake();
        }, 50).unref();
      });
      if (!member.alive || member.role !== 'primary') return false;
    }
    return member.alive && member.role === 'primary';
  }

  async function inSlot(member, ms, run) {
    if (member.busy >= slots) return undefined;
    member.busy++;
    try {
      await sleep(ms);
      return await run();
    } finally {
      member.busy--;
    }
  }

  function serve(member, socket) {
    const number = ++lastConnection;
    member.sockets.add(socket);
    socket.setNoDelay(true);
    if (member.isCut) setImmediate(() => socket.pause());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => member.sockets.delete(socket));
    const session = {values: {}, prepared: new Map(), tx: undefined, client: '', number};
    let started = false;
    let last = Promise.resolve();
    readLines(socket, line => {
      last = last.then(async () => {
        // What a cut has let through before it was noticed waits for its end.
        while (member.isCut) await sleep(20);
        if (!member.alive || socket.destroyed) return;
        if (!started) started = await open(line);
        else await query(line);
      });
    });

    function send(...fields) {
      const text = fields.join(' ') + '\r\n';
      if (member.isCut) member.held.push(() => socket.write(text, 'latin1'));
      else if (member.alive && !socket.destroyed) socket.write(text, 'latin1');
    }

    function ready() {
      const state = !session.tx ? 'I' : session.tx.failed ? 'E' : 'T';
      send('READY', state, positionText(member.log, member.applied));
    }

    async function open(line) {
      const [word, name, client = '', id] = line.split(' ');
      if (word !== 'STARTUP' || name !== service || (id && id !== member.id)) {
        socket.end(`ERROR WRONGNODE ${member.id}\r\n`);
        return false;
      }
      if (member.sockets.size > options.maxConns) {
        socket.end(`ERROR CONNLIMIT ${member.id}\r\n`);
        return false;
      }
      session.client = client;
      await sleep(options.handshakeMs);
      ready();
      return true;
    }

    function fail(code) {
      if (session.tx) session.tx.failed = true;
      send('ERROR', code, member.id);
    }

    function complete() {
      send('COMPLETE', `${member.id}.${(++signatures).toString(36)}`);
    }

    function ran(id, text) {
      member.runs.push({at: Date.now(), id, text, client: session.client, connection: number});
      note?.({what: 'run', database: member.id, id, text, client: session.client});
    }

    async function query(line) {
      const [word, rest] = splitWord(line);
      if (word === 'TERMINATE') {
        socket.end();
        return;
      }
      let [id, text] = splitWord(rest);
      await run(id, text);
      ready();
    }

    async function run(id, whole) {
      let text = whole;
      if (text.startsWith('WAITLSN ')) {
        const [position, inner] = splitWord(text.slice(8));
        if (compare(positionAt(member.log, member.applied), parsePosition(position)) < 0) {
          fail('LAGGING');
          return;
        }
        text = inner;
      }
      const [word, args] = splitWord(text);
      const {tx} = session;
      if (tx?.failed && word !== 'ROLLBACK' && word !== 'COMMIT') {
        fail('MALFORMED');
        return;
      }
      switch (word) {
        case 'BEGIN':
          if (args === '' && member.role !== 'primary') return fail('READONLY');
          session.tx = {readOnly: args === 'READ', term: member.term, failed: false, writes: []};
          return send('COMPLETE', '-');
        case 'ROLLBACK':
          session.tx = undefined;
          return send('COMPLETE', '-');
        case 'SET': {
          const [name, value] = splitWord(args);
          session.values[name] = value;
          return send('COMPLETE', '-');
        }
        case 'PARSE': {
          const [name, shape] = splitWord(args);
          session.prepared.set(name, shape);
          return send('COMPLETE', '-');
        }
        case 'CLOSE':
          session.prepared.delete(args);
          return send('COMPLETE', '-');
        case 'DISCARD':
          session.values = {};
          session.prepared.clear();
          return send('COMPLETE', '-');
        case 'STATUS':
        case 'STEPDOWN':
          return status(word, args);
        case 'COMMIT':
          return commitTx(id);
        default:
          return statement(id, word, args, text);
      }
    }

    async function status(word, args) {
      if (word === 'STEPDOWN' && member.role === 'primary' && member.term < Number(args))
        member.role = 'replica';
      const row = await inSlot(member, 1, () => {
        const {role, term, log, busy, sockets} = member;
        return `${role} ${term} ${positionText(log, log.length)} ${term} 0 ${busy - 1} ${sockets.size}`;
      });
      note?.({what: 'status', database: member.id, row: row ?? 'BUSY'});
      if (row === undefined) return fail('BUSY');
      send('DATAROW', row);
      send('COMPLETE', '-');
    }

    async function commitTx(id) {
      const {tx} = session;
      session.tx = undefined;
      if (!tx || tx.failed) return send('ERROR', 'ABORTED', member.id);
      const isLost = member.role !== 'primary' || member.term !== tx.term;
      if (tx.writes.length > 0 && isLost) return fail('READONLY');
      const done = await inSlot(member, 1, () => tx.writes.length === 0 || commit(member, tx.writes));
      if (done === undefined) return fail('BUSY');
      if (!done) return socket.destroy();
      ran(id, 'COMMIT');
      complete();
    }

    async function statement(id, word, args, text) {
      let [item, data] = splitWord(args);
      let isWrite = word === 'WRITE';
      if (word === 'EXECUTE') {
        const shape = session.prepared.get(item);
        if (shape === undefined) return fail('NOSTMT');
        isWrite = shape.startsWith('WRITE');
        [item, data] = splitWord(data);
      } else if (word !== 'READ' && word !== 'WRITE') return fail('MALFORMED');
      const {tx} = session;
      const isPrimary = () =>
        member.role === 'primary' && (!tx || tx.readOnly || tx.term === member.term);
      const needsPrimary = tx ? !tx.readOnly : isWrite;
      if (needsPrimary && !isPrimary()) return fail('READONLY');
      const ms = isWrite ? options.writeMs : options.readMs;
      const done = await inSlot(member, ms, async () => {
        if (needsPrimary && !isPrimary()) return 'READONLY';
        ran(id, text);
        if (!isWrite) return 'read';
        const write = {id, item, data};
        if (tx) {
          tx.writes.push(write);
          return 'written';
        }
        return (await commit(member, [write])) ? 'written' : 'lost';
      });
      if (done === undefined) return fail('BUSY');
      if (done === 'READONLY') return fail('READONLY');
      if (done === 'lost') return socket.destroy();
      if (done === 'read') {
        const found = member.log.slice(0, member.applied).findLast(record => record.item === item);
        send('DATAROW', found?.data ?? `${item}-row`);
      }
      complete();
    }
  }

  for (const id of ids) {
    const member = {
      id,
      role: id === ids[0] ? 'primary' : 'replica',
      term: 1,
      log: [],
      applied: 0,
      applyMs: options.applyMs,
      deaf: false,
      alive: true,
      isCut: false,
      held: [],
      busy: 0,
      sockets: new Set(),
      waiting: new Set(),
      runs: [],
    };
    members.set(id, member);
    member.server = net.createServer(socket => serve(member, socket));
    await new Promise(resolve => member.server.listen(0, host, resolve));
    member.port = member.server.address().port;
  }
  const catchingUp = setInterval(() => {
    const lead = primary();
    if (lead?.alive) replicate(lead);
  }, 100);

  return {
    members,
    promotions,
    primary,
    /** The process of a database dies. */
    crash(id) {
      const member = members.get(id);
      member.alive = false;
      member.server.close();
      for (const socket of member.sockets) socket.resetAndDestroy();
    },
    /** Cuts a database off from all machines: nothing arrives, either way. */
    cut(id) {
      const member = members.get(id);
      member.isCut = true;
      for (const socket of member.sockets) socket.pause();
    },
    heal(id) {
      const member = members.get(id);
      member.isCut = false;
      for (const socket of member.sockets) socket.resume();
      for (const write of member.held.splice(0)) write();
    },
    /** Makes a database the primary of the next term, with what it has received. */
    promote(id) {
      const next = members.get(id);
      if (!next?.alive) return false;
      if (next.role === 'primary') return true;
      setTimeout(() => {
        if (!next.alive || next.role === 'primary') return;
        const term = Math.max(...[...members.values()].map(item => item.term)) + 1;
        const logs = {};
        for (const item of members.values()) {
          logs[item.id] = item.log.map(record => record.id);
          if (item.role === 'primary') item.role = 'replica';
        }
        next.role = 'primary';
        next.term = term;
        next.applied = next.log.length;
        promotions.push({at: Date.now(), id, term, log: logs[id], logs});
        note?.({what: 'promoted', database: id, term, records: logs[id].length});
        options.onRole?.();
      }, options.promoteMs).unref();
      return true;
    },
    stop() {
      clearInterval(catchingUp);
      for (const {server, sockets} of members.values()) {
        server.close();
        for (const socket of sockets) socket.destroy();
      }
    },
  };
}
