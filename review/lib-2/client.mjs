// A client as PROTOCOL.md tells: one request at a time on a session.
import net from 'node:net';

/** Opens a session; rejects if it isn't opened within 2 s. */
export function openSession(ip, database) {
  const socket = net.connect({host: ip, port: 8784});
  socket.setNoDelay(true);
  let tail = '';
  let answer;
  let waiting;

  function settle(result) {
    const {resolve} = waiting ?? {};
    waiting = undefined;
    resolve?.(result);
  }

  /** Keeps the size of an answer and its last lines, not its rows. */
  function take(chunk) {
    if (!waiting) return;
    answer.bytes += chunk.length;
    tail = (tail + chunk.toString('latin1')).slice(-400);
    const end = /(?:^|\r\n)(?:COMPLETE ([^\r]*)|ERROR (\w+)[^\r]*)\r\nREADY (\w) [^\r]*\r\n$/.exec(tail);
    const opened = answer.isOpening && /^READY I [^\r]*\r\n$/.test(tail);
    const refused = answer.isOpening && /^ERROR (\w+)/.exec(tail);
    if (opened) settle({type: 'opened'});
    else if (refused) settle({type: 'error', code: refused[1]});
    else if (end?.[2]) settle({type: 'error', code: end[2], bytes: answer.bytes});
    else if (end) settle({type: 'success', signature: end[1], bytes: answer.bytes});
  }

  socket.on('data', take);
  socket.on('error', () => {});
  socket.on('close', () => settle({type: 'closed'}));

  function ask(text, isOpening, withinMs) {
    return new Promise(resolve => {
      tail = '';
      answer = {bytes: 0, isOpening};
      const timer = setTimeout(() => settle({type: 'deadline'}), withinMs);
      waiting = {
        resolve: result => {
          clearTimeout(timer);
          resolve(result);
        },
      };
      if (socket.destroyed) settle({type: 'closed'});
      else socket.write(text, 'latin1');
    });
  }

  return {
    start: () => ask(`STARTUP ${database} client\r\n`, true, 2000),
    query: (id, text, withinMs) => ask(`QUERY ${id} ${text}\r\n`, false, withinMs),
    close: () => socket.destroy(),
  };
}
