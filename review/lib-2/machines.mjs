// Starts the daemon with the command of the deploy file, and starts it again when
// it ends, as the users' platform does. Only processes started here are ended.
import {spawn} from 'node:child_process';
import {closeSync, mkdtempSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import http from 'node:http';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** Delay after which a process that has ended is started again, in milliseconds. */
const RESTART_MS = 300;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The words of `run` and the variables of the one role in the deploy file. */
function deployed() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]*)"/m.exec(text)[1].split(' ');
  const env = {};
  for (const [, name, value] of (/^env = \{(.*)\}/m.exec(text)?.[1] ?? '').matchAll(
    /(\w+) = "([^"]*)"/g,
  ))
    env[name] = value;
  return {run, env};
}

/** A settings file like those of a small deployment. */
function settingsOf({name, ip, zone, store, orders}) {
  return {
    NodeName: name,
    Role: 'quetzalreeld',
    MachineClass: 'front',
    Serves: ['front'],
    Ip: ip,
    Zone: zone,
    Region: 'nordeste',
    Zones: {recife: 'nordeste', fortaleza: 'nordeste', natal: 'nordeste'},
    ListenAddrs: {Front: `${ip}:8784`, HealthAddr: `${ip}:8785`},
    InternalPorts: [7440, 7455],
    Seeds: [],
    Bootstrap: false,
    CountsAsLoss: false,
    Limits: {
      CpuShare: 0.675,
      Cores: 1,
      MemoryMb: 350,
      MaxFds: 4300,
      LinkMbps: 1000,
      DiskMb: 0,
    },
    DataDir: null,
    Discovery: 'platform',
    EntryKind: 'vip',
    HeartbeatMs: 1200,
    Contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
    FaultTolerance: {Machines: 1, Zones: 0, Regions: 0},
    ContractParams: {
      SeedLagS: 3,
      AddrReuseS: 2,
      ContactMs: 4000,
      AckMs: 5000,
      CatchupS: 4,
      DrainMs: 7000,
      GraceS: 6,
      LossSlackMs: 200,
      ConfigApplyMs: 3000,
      RevertSlackMs: 250,
      OuterBoundMs: 12000,
      RecoveryS: 12,
      RequireFence: true,
      ThawSlackMs: 300,
    },
    platform: {
      Address: store,
      form: 'objects',
      WritesPerS: 400,
      ReadsPerS: 2000,
      HistoryS: 20,
      ValueBytes: 1048576,
      TtlMinMs: 1000,
    },
    CloudApi: {Address: orders, RatePerS: 50, Duties: ['promotion'], DutyPerS: 50},
  };
}

/** Whether the machine at `ip` answers the ready probe with 200. */
export function isReady(ip) {
  return new Promise(resolve => {
    const req = http.get(
      {
        host: ip,
        port: 8785,
        path: '/quetzalreel/readiness',
        timeout: 500,
        agent: false,
      },
      res => {
        res.resume();
        resolve(res.statusCode === 200);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(false));
  });
}

/** Runs machines until `end`; `record` is called with what happens. */
export function machines({store, orders = store, record}) {
  const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  const {run, env} = deployed();
  const all = [];
  let isOver = false;

  function start(machine) {
    if (isOver) return;
    const log = openSync(machine.log, 'a');
    const [program, ...words] = run;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        ...env,
        QUETZALREEL_BOOT: machine.settings,
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    machine.child = child;
    machine.starts++;
    record(`${machine.name} starts`);
    child.once('exit', (code, signal) => {
      machine.child = undefined;
      if (isOver) return;
      record(
        `${machine.name} ends ${machine.isEnding ? 'as told' : 'by itself'}: code ${code}, signal ${signal}`,
      );
      if (!machine.isEnding) machine.ownEnds++;
      machine.isEnding = false;
      setTimeout(() => start(machine), RESTART_MS);
    });
  }

  return {
    all,
    folder,
    add(name, ip, zone) {
      const settings = path.join(folder, `${name}.json`);
      writeFileSync(settings, JSON.stringify(settingsOf({name, ip, zone, store, orders})));
      const log = path.join(folder, `${name}.log`);
      const machine = {name, ip, zone, settings, log, starts: 0, ownEnds: 0};
      all.push(machine);
      start(machine);
      return machine;
    },
    /** Waits until all are ready; false if they aren't in time. */
    async ready(withinMs) {
      const until = Date.now() + withinMs;
      while (Date.now() < until) {
        const states = await Promise.all(all.map(({ip}) => isReady(ip)));
        if (states.every(Boolean)) return true;
        await sleep(100);
      }
      return false;
    },
    async end() {
      isOver = true;
      for (const {child} of all) child?.kill('SIGKILL');
      await sleep(200);
    },
  };
}
