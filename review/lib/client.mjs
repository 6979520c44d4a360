/** Stand-in for a client of the wire protocol. */
import net from 'node:net';
import {lineReader, now, split} from './common.mjs';

let lastId = 0;
/** A new statement id. */
export const newId = () =>
  `c${process.pid.toString(16)}x${(++lastId).toString(16)}`;

/** Opens a session; resolves to undefined if it was not answered with READY. */
export async function openSession({ip, port, database, who, record}) {
  const socket = net.connect({host: ip, port});
  socket.setNoDelay(true);
  const read = lineReader();
  let lines = [];
  let wake = () => {};
  let isOpen = true;
  socket.on('data', chunk => {
    lines.push(...read(chunk));
    if (lines.some(line => line.startsWith('READY'))) wake();
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    isOpen = false;
    wake();
  });
  const isWhole = () => lines.some(line => line.startsWith('READY'));
  async function exchange(text) {
    lines = [];
    if (isOpen) socket.write(text, 'latin1');
    while (!isWhole() && isOpen) await new Promise(done => (wake = done));
    return lines;
  }

  const first = await exchange(`STARTUP ${database} ${who}\r\n`);
  if (!first.some(line => line.startsWith('READY'))) {
    socket.destroy();
    return undefined;
  }
  return {
    get isOpen() {
      return isOpen;
    },
    /**
     * Sends a statement. `code` is the error's word, '' for success and
     * undefined if the connection ended without a whole answer.
     */
    async ask(text, id = newId()) {
      const sentAt = now();
      record.note(`send ${who} ${id} ${text}`);
      const got = await exchange(`QUERY ${id} ${text}\r\n`);
      const error = got.find(line => line.startsWith('ERROR'));
      const ready = got.find(line => line.startsWith('READY'));
      const complete = got.find(line => line.startsWith('COMPLETE'));
      const whole = ready !== undefined;
      const code = !whole ? undefined : error ? split(split(error)[1])[0] : '';
      const state = ready?.split(' ')[1];
      record.note(`got ${who} ${id} ${whole ? `${error ?? complete} ${ready}` : 'nothing: closed'}`);
      const ms = now() - sentAt;
      return {id, code, state, sentAt, ms, error};
    },
    terminate: () => void socket.end('TERMINATE\r\n'),
    /** Leaves without a word. */
    leave: () => void socket.destroy(),
  };
}
