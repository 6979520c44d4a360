/**
 * What one instance carries: statements a second, added time over a direct
 * connection, and memory for each open caller connection. Prints one JSON
 * object a line; takes less than 20 seconds.
 */
import {readFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {frameSplitter, query} from '@quetzalreel/wire';
import {boolean, command, flag, number, option, run, string} from 'cmd-ts';
import pg from 'pg';
import {type Fleet, startFleet} from './fleet.js';

interface Target {
  readonly host: string;
  readonly port: number;
}

/** Unit of processor times in /proc. */
const TICK_MS = 10;
const GROUP = 'entries-1';
const WARM_UP_MS = 500;
const MAX_FRAME_BYTES = 1024 * 1024;
const CALLER_STEPS = [0, 500, 1000, 2000];
const PERCENTILES = [50, 99] as const;
const READ = "SELECT value FROM entries WHERE key = 'a'";
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function print(figure: string, unit: string, value: number, more = {}): void {
  const rounded = Number(value.toFixed(3));
  const line = {workload: 'speed', figure, unit, value: rounded, ...more};
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function connect(target: Target): Promise<pg.Client> {
  const {host, port} = target;
  const client = new pg.Client({host, port, user: 'rider', database: GROUP});
  client.on('error', () => {});
  await client.connect();
  return client;
}

/** The socket of a logged-in client, which then is the trial's own. */
async function socketTo(target: Target): Promise<Socket> {
  const client = await connect(target);
  const {stream} = (client as unknown as {connection: {stream: Socket}})
    .connection;
  stream.removeAllListeners();
  return stream;
}

/** Times in ms of statements sent one after the other on each connection. */
async function drive(
  target: Target,
  callers: number,
  durationMs: number,
): Promise<number[]> {
  const request = query(READ);
  const times: number[] = [];
  const sockets = await Promise.all(
    Array.from({length: callers}, () => socketTo(target)),
  );
  const from = performance.now() + WARM_UP_MS;
  const until = from + durationMs;
  const work = (socket: Socket) =>
    new Promise<void>(resolve => {
      const splitter = frameSplitter(MAX_FRAME_BYTES);
      let sentAt = 0;
      const send = () => {
        sentAt = performance.now();
        socket.write(request);
      };
      socket.on('data', chunk => {
        for (const {type} of splitter.push(chunk)) {
          if (type === 'E') throw new Error('a statement failed');
          if (type !== 'Z') continue;
          const now = performance.now();
          if (now >= from && now < until) times.push(now - sentAt);
          if (now >= until) resolve();
          else send();
        }
      });
      send();
    });
  await Promise.all(sockets.map(work));
  for (const socket of sockets) socket.destroy();
  return times.sort((a, b) => a - b);
}

function percentile(sorted: readonly number[], percent: number): number {
  const index = Math.floor((sorted.length * percent) / 100);
  return sorted[Math.min(index, sorted.length - 1)] ?? NaN;
}

function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)![1]) * 1024;
}

/** Processor time of a process so far, in milliseconds. */
function processorMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
}

async function memory(fleet: Fleet): Promise<void> {
  const proxy = fleet.proxies[0]!;
  const open: pg.Client[] = [];
  let atStart = 0;
  for (const callers of CALLER_STEPS) {
    while (open.length < callers) {
      const more = Math.min(50, callers - open.length);
      const batch = Array.from({length: more}, () => connect(proxy));
      open.push(...(await Promise.all(batch)));
    }
    await sleep(300);
    const bytes = residentBytes(proxy.pid);
    if (callers === 0) atStart = bytes;
    const each = callers === 0 ? 0 : (bytes - atStart) / callers;
    print('resident', 'bytes', bytes, {callers, eachCaller: Math.round(each)});
  }
  await Promise.all(open.map(client => client.end()));
}

const app = command({
  name: 'speed-trial',
  args: {
    callers: option({type: number, long: 'callers', defaultValue: () => 32}),
    durationMs: option({
      type: number,
      long: 'duration-ms',
      defaultValue: () => 3000,
    }),
    logLevel: option({
      type: string,
      long: 'log-level',
      defaultValue: () => 'info',
    }),
    noMemory: flag({type: boolean, long: 'no-memory'}),
  },
  handler: async ({callers, durationMs, logLevel, noMemory}) => {
    const fleet = await startFleet({
      proxies: 1,
      groups: [GROUP],
      dataCentres: ['recife'],
      slots: 64,
      connections: 200,
      connectMs: 10,
      lagMs: 0,
      serviceMs: 0,
      distanceMs: 0,
      kinds: [],
      logLevel,
    });
    try {
      const [proxy] = fleet.proxies;
      const replica = fleet.endpoints[1]!;
      await sleep(300);
      if (!noMemory) await memory(fleet);
      const before = processorMs(proxy!.pid);
      const many = await drive(proxy!, callers, durationMs);
      const usedMs = processorMs(proxy!.pid) - before;
      const allMs = durationMs + WARM_UP_MS;
      const each = (usedMs * 1000 * durationMs) / allMs / many.length;
      print('processor', 'us', each, {callers, logLevel});
      const rate = (many.length * 1000) / durationMs;
      print('statements', '1/s', rate, {callers, logLevel});
      const direct = await drive(replica, 1, durationMs / 2);
      const through = await drive(proxy!, 1, durationMs / 2);
      for (const percent of PERCENTILES) {
        const baseline = percentile(direct, percent);
        const added = percentile(through, percent) - baseline;
        print(`added-p${percent}`, 'ms', added, {baseline, logLevel});
      }
    } finally {
      await fleet.stop();
    }
  },
});

await run(app, process.argv.slice(2));
