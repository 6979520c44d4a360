/** A client's session over the line protocol. */
import net from 'node:net';
import {readLines, splitWord} from './databases.mjs';

let lastId = 0;

/** Opens a session; rejects if it is refused or not answered in two seconds. */
export async function openSession({ip, port}, database, who) {
  const socket = net.connect({host: ip, port});
  socket.setNoDelay(true);
  let lines = [];
  let wake = () => {};
  let isOpen = true;
  readLines(socket, line => {
    lines.push(line);
    wake();
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    isOpen = false;
    wake();
  });

  /** The lines up to READY; without READY if the connection ends or time is up. */
  async function exchange(text, timeoutMs) {
    lines = [];
    if (isOpen) socket.write(text, 'latin1');
    const until = Date.now() + timeoutMs;
    const isWhole = () => lines.some(line => line.startsWith('READY'));
    while (!isWhole() && isOpen && Date.now() < until) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, until - Date.now());
        wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    const rows = [];
    let code;
    let signature;
    let isReady = false;
    for (const line of lines) {
      const [word, rest] = splitWord(line);
      if (word === 'DATAROW') rows.push(rest);
      if (word === 'COMPLETE') signature = rest;
      if (word === 'ERROR') code = splitWord(rest)[0];
      if (word === 'READY') isReady = true;
    }
    return {rows, code, signature, isReady, isDone: isReady && !code};
  }

  const started = await exchange(`STARTUP ${database} ${who}\r\n`, 2000);
  if (!started.isDone) {
    socket.destroy();
    throw new Error(`no session: ${started.code ?? 'no answer'}`);
  }
  return {
    get isOpen() {
      return isOpen;
    },
    /** Sends one statement with an id of its own. */
    async ask(text, timeoutMs = 3000) {
      const id = `${process.pid.toString(16)}x${(++lastId).toString(16).padStart(6, '0')}`;
      const sentAt = Date.now();
      const answer = await exchange(`QUERY ${id} ${text}\r\n`, timeoutMs);
      return {id, text, sentAt, answeredAt: Date.now(), ...answer};
    },
    close: () => socket.destroy(),
  };
}
