/**
 * Measures one instance: statements per second and processor time for each,
 * latency added over a direct connection, and memory per open caller
 * connection. Prints one JSON object per line; takes less than 20 seconds.
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

/** Clock tick, the unit of processor times in /proc. */
const CLOCK_TICK_MS = 10;
const GROUP = 'entries-1';
const WARM_UP_MS = 500;
const MAX_FRAME_BYTES = 1024 * 1024;
const CALLER_COUNTS = [0, 500, 1000, 2000];
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

/** Logs in and returns the raw socket, detached from the client library. */
async function socketTo(target: Target): Promise<Socket> {
  const client = await connect(target);
  const {stream} = (client as unknown as {connection: {stream: Socket}})
    .connection;
  stream.removeAllListeners();
  return stream;
}

/** Sorted latencies in ms; each connection sends one statement at a time. */
async function measureLatencies(
  target: Target,
  callers: number,
  durationMs: number,
): Promise<number[]> {
  const request = query(READ);
  const times: number[] = [];
  const sockets = await Promise.all(
    Array.from({length: callers}, () => socketTo(target)),
  );
  const measureFrom = performance.now() + WARM_UP_MS;
  const measureUntil = measureFrom + durationMs;
  const sendUntilEnd = (socket: Socket) =>
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
          if (now >= measureFrom && now < measureUntil)
            times.push(now - sentAt);
          if (now >= measureUntil) resolve();
          else send();
        }
      });
      send();
    });
  await Promise.all(sockets.map(sendUntilEnd));
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

/** Processor time that a process has used so far, in milliseconds. */
function processorMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
}

async function measureMemory(fleet: Fleet): Promise<void> {
  const proxy = fleet.proxies[0]!;
  const clients: pg.Client[] = [];
  let initialBytes = 0;
  for (const callers of CALLER_COUNTS) {
    while (clients.length < callers) {
      const more = Math.min(50, callers - clients.length);
      const batch = Array.from({length: more}, () => connect(proxy));
      clients.push(...(await Promise.all(batch)));
    }
    await sleep(300);
    const bytes = residentBytes(proxy.pid);
    if (callers === 0) initialBytes = bytes;
    const each = callers === 0 ? 0 : (bytes - initialBytes) / callers;
    print('resident', 'bytes', bytes, {callers, eachCaller: Math.round(each)});
  }
  await Promise.all(clients.map(client => client.end()));
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
      if (!noMemory) await measureMemory(fleet);
      const before = processorMs(proxy!.pid);
      const latencies = await measureLatencies(proxy!, callers, durationMs);
      const usedMs = processorMs(proxy!.pid) - before;
      const allMs = durationMs + WARM_UP_MS;
      const each = (usedMs * 1000 * durationMs) / allMs / latencies.length;
      print('processor', 'us', each, {callers, logLevel});
      const rate = (latencies.length * 1000) / durationMs;
      print('statements', '1/s', rate, {callers, logLevel});
      const direct = await measureLatencies(replica, 1, durationMs / 2);
      const proxied = await measureLatencies(proxy!, 1, durationMs / 2);
      for (const percent of PERCENTILES) {
        const baseline = percentile(direct, percent);
        const added = percentile(proxied, percent) - baseline;
        print(`added-p${percent}`, 'ms', added, {baseline, logLevel});
      }
    } finally {
      await fleet.stop();
    }
  },
});

await run(app, process.argv.slice(2));
