/** Starts the project's daemon as the deploy file says, on loopback. */
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {freePorts, now, sleep} from './common.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const READINESS = '/quetzalreel/readiness';

/** The command and the variables of the role in the deploy file. */
function deployed() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  const [, env] = /^env = \{(.*)\}$/m.exec(text) ?? [undefined, ''];
  const variables = {};
  for (const [, key, value] of env.matchAll(/(\w+) = "([^"]*)"/g))
    variables[key] = value;
  return {words: run.split(' '), variables};
}

/** Starts a daemon at its own loopback address. */
export async function startDaemon({name, ip, zone, zones, store, folder, record, first = true, graceS = 6, drainMs = 7000}) {
  const port = await freePorts(ip, 20);
  const settings = {
    NodeName: name,
    Role: 'quetzalreeld',
    MachineClass: 'front',
    Serves: ['front'],
    Ip: ip,
    Zone: zone,
    Region: 'r',
    Zones: Object.fromEntries(zones.map(item => [item, 'r'])),
    ListenAddrs: {Front: `${ip}:${port}`, HealthAddr: `${ip}:${port + 1}`},
    InternalPorts: [port + 2, port + 17],
    Seeds: [],
    Bootstrap: first,
    CountsAsLoss: false,
    Limits: {CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4300, LinkMbps: 1000, DiskMb: 0},
    DataDir: null,
    Discovery: 'platform',
    EntryKind: 'vip',
    HeartbeatMs: 1200,
    Contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
    FaultTolerance: {Machines: 1, Zones: 0, Regions: 0},
    ContractParams: {SeedLagS: 3, AddrReuseS: 2, ContactMs: 4000, AckMs: 5000, CatchupS: 4, DrainMs: drainMs, GraceS: graceS, LossSlackMs: 200, ConfigApplyMs: 3000, RevertSlackMs: 250, OuterBoundMs: 12000, RecoveryS: 12, RequireFence: true, ThawSlackMs: 300},
    platform: {Address: store, form: 'objects', WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000},
    CloudApi: {Address: store, RatePerS: 50, Duties: ['promotion'], DutyPerS: 50},
  };
  const file = path.join(folder, `${name}.json`);
  writeFileSync(file, JSON.stringify(settings));
  const {words, variables} = deployed();
  // The metrics listen at the machine's own address, so one port fits all.
  const env = {
    PATH: process.env.PATH,
    HOME: process.env.HOME,
    ...variables,
    QUETZALREEL_METRICS_PORT: String(port + 19),
    QUETZALREEL_BOOT: file,
  };
  const child = spawn(words[0], words.slice(1), {
    cwd: ROOT,
    env,
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(path.join(folder, `${name}.log`));
  child.stdout.pipe(log);
  child.stderr.pipe(log);
  const daemon = {
    name,
    ip,
    zone,
    port,
    child,
    exitedAt: undefined,
    isReady: () => isReady(ip, port + 1),
    async untilReady(ms) {
      const end = now() + ms;
      while (now() < end) {
        if (await isReady(ip, port + 1)) return true;
        await sleep(50);
      }
      return false;
    },
    signal(what) {
      record.note(`${what} to ${name}`);
      child.kill(what);
    },
    kill: () => void child.kill('SIGKILL'),
  };
  child.once('exit', (code, sig) => {
    daemon.exitedAt = now();
    record.note(`exit of ${name}: ${code ?? sig}`);
  });
  return daemon;
}

function isReady(ip, port) {
  return new Promise(resolve => {
    const req = http.get(
      {host: ip, port, path: READINESS, timeout: 500, agent: false},
      res => {
        res.resume();
        resolve(res.statusCode === 200);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(false));
  });
}
