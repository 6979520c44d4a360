/** Helpers that all scripts of the review share; Node.js only, no packages. */
import {appendFileSync, writeFileSync} from 'node:fs';
import net from 'node:net';

/** Milliseconds of the steady clock. */
export const now = () => performance.now();

/** Waits for a time in milliseconds. */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** A small generator of repeatable random numbers from 0 to 1. */
export function random(seed) {
  let state = seed >>> 0 || 1;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
}

/** Splits a byte stream at CR LF. */
export function lineReader() {
  let pending = '';
  return chunk => {
    const lines = (pending + chunk.toString('latin1')).split('\r\n');
    pending = lines.pop();
    return lines;
  };
}

/** The first word of a text, and the rest behind the blank. */
export function split(text) {
  const at = text.indexOf(' ');
  return at < 0 ? [text, ''] : [text.slice(0, at), text.slice(at + 1)];
}

/** Whether nothing listens at a port. */
function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds the first of `count` free ports in a row. */
export async function freePorts(host, count) {
  for (;;) {
    const first = 20000 + Math.floor(Math.random() * 12000);
    let free = true;
    for (let i = 0; free && i < count; i++) free = await isFree(host, first + i);
    if (free) return first;
  }
}

/** Writes what happened to a file, with seconds from the start. */
export function recorder(path) {
  const start = now();
  writeFileSync(path, '');
  let pending = '';
  function flush() {
    if (pending) appendFileSync(path, pending);
    pending = '';
  }
  const timer = setInterval(flush, 200);
  timer.unref();
  return {
    note(text) {
      pending += `${((now() - start) / 1000).toFixed(4)} ${text}\n`;
    },
    /** Notes a text and shows it. */
    say(text) {
      this.note(text);
      process.stdout.write(`${text}\n`);
    },
    flush,
  };
}
