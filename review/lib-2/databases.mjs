// Databases of a service as PROTOCOL.md tells: slots, the lead, WAITLSN, prepared
// names and values. The log doesn't move in these cases unless a write commits.
import net from 'node:net';

/** Data of a row; `sizeOf(item)` tells rows and bytes of an answer. */
export async function startDatabase({
  id,
  service,
  ip,
  leads,
  slots,
  maxConns,
  sizeOf,
  workMs,
  onRun,
}) {
  let connections = 0;
  let busy = 0;
  const waiting = [];
  const position = '1.1';

  /** Takes a slot; a free one is handed on in the order of arrival. */
  async function slot() {
    if (busy < slots) {
      busy++;
      return;
    }
    await new Promise(resolve => waiting.push(resolve));
  }

  function freeSlot() {
    const next = waiting.shift();
    if (next) next();
    else busy--;
  }

  const server = net.createServer(socket => {
    connections++;
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => connections--);
    let state = 'I';
    let plain = false;
    let started = false;
    let text = '';
    const lines = [];
    let serving = false;

    const ready = () => `READY ${state} ${position}\r\n`;

    function refuse(code) {
      if (state === 'T') state = 'E';
      return `ERROR ${code} ${id}\r\n${ready()}`;
    }

    /** Sends an answer; a client that doesn't read holds it up. */
    async function send(answer) {
      if (socket.destroyed || socket.write(answer, 'latin1')) return;
      await new Promise(resolve => {
        const done = () => {
          socket.off('drain', done);
          socket.off('close', done);
          resolve();
        };
        socket.on('drain', done);
        socket.on('close', done);
      });
    }

    async function read(queryId, item) {
      await slot();
      try {
        await new Promise(resolve => setTimeout(resolve, workMs));
        onRun(id, queryId, item);
        const {rows, rowBytes} = sizeOf(item);
        const row = `DATAROW ${'r'.repeat(rowBytes)}\r\n`;
        const atOnce = Math.max(1, Math.floor(65536 / row.length));
        for (let left = rows; left > 0 && !socket.destroyed; left -= atOnce)
          await send(row.repeat(Math.min(atOnce, left)));
        await send(`COMPLETE ${id}.${queryId}\r\n${ready()}`);
      } finally {
        freeSlot();
      }
    }

    async function query(line) {
      const [, queryId, ...rest] = line.split(' ');
      if (rest[0] === 'WAITLSN') rest.splice(0, 2);
      const [word, first] = rest;
      if (state === 'E' && word !== 'ROLLBACK' && word !== 'COMMIT')
        return send(refuse('MALFORMED'));
      switch (word) {
        case 'BEGIN':
          plain = first !== 'READ';
          if (plain && !leads) return send(refuse('READONLY'));
          state = 'T';
          return send(`COMPLETE -\r\n${ready()}`);
        case 'ROLLBACK':
          state = 'I';
          return send(`COMPLETE -\r\n${ready()}`);
        case 'SET':
        case 'PARSE':
        case 'DISCARD':
          return send(`COMPLETE -\r\n${ready()}`);
        case 'STATUS': {
          const role = leads ? 'primary' : 'replica';
          const row = `${role} 1 ${position} 1 0 ${busy} ${connections}`;
          return send(`DATAROW ${row}\r\nCOMPLETE -\r\n${ready()}`);
        }
        case 'READ':
          return read(queryId, first);
        default:
          return send(refuse('MALFORMED'));
      }
    }

    async function serve() {
      if (serving) return;
      serving = true;
      while (lines.length > 0 && !socket.destroyed) await query(lines.shift());
      serving = false;
    }

    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      for (let end; (end = text.indexOf('\r\n')) >= 0; ) {
        const line = text.slice(0, end);
        text = text.slice(end + 2);
        if (started) {
          lines.push(line);
          continue;
        }
        const [word, name, , wanted] = line.split(' ');
        const isWrong = word !== 'STARTUP' || name !== service || (wanted && wanted !== id);
        if (isWrong || connections > maxConns) {
          socket.end(`ERROR ${isWrong ? 'WRONGNODE' : 'CONNLIMIT'} ${id}\r\n`);
          return;
        }
        started = true;
        socket.write(ready());
      }
      void serve();
    });
  });
  await new Promise(resolve => server.listen(0, ip, resolve));
  return {id, leads, address: `${ip}:${server.address().port}`};
}
