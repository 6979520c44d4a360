/** Frame of a case: a small deployment, its end, and the exit code. */
import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {recorder, sleep} from './common.mjs';
import {startDaemon} from './daemon.mjs';
import {startPlatform} from './platform.mjs';

/** Whether the disruption is to be made. */
export const TROUBLE = process.env.TROUBLE !== '0';

const MOST_MS = 115_000;

/** The routes of a small deployment, one of each kind. */
export function routesTo(service) {
  const route = (Name, Host, Kind, TimeoutMs, TargetLatencyMs, Priority) => ({
    Name,
    Host,
    PathPrefix: '/',
    Kind,
    TimeoutMs,
    TargetLatencyMs,
    Priority,
    Service: service,
    MaxAttempts: 2,
  });
  return [
    route(`r-pri-${service}`, `pri-${service}`, 'primary', 800, 150, 1),
    {...route(`r-bnd-${service}`, `bnd-${service}`, 'bounded_stale', 2000, 500, 2), MaxStalenessMs: 1500},
    {...route(`r-own-${service}`, `own-${service}`, 'read_own', 800, 250, 2), MaxStalenessMs: 2500},
  ];
}

/** A configuration in full. */
export function configuration({version = 7, services, sync = 0, maxConns = 22, txIdleMs = 3000}) {
  return {
    Version: version,
    Routes: services.flatMap(routesTo),
    Services: services.map(Name => ({
      Name,
      HealthPath: '/health',
      MaxConns: maxConns,
      Protocol: 'h1',
      Tls: false,
      SyncReplicas: sync,
    })),
    Limits: {MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, TxIdleMs: txIdleMs},
  };
}

/**
 * Runs a case and writes `recordPath`. `play` gets the deployment and resolves to whether the rule
 * held; an error means that the case couldn't run.
 */
export async function runCase(recordPath, play) {
  const record = recorder(recordPath);
  const temporary = mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const daemons = [];
  const groups = new Map();
  let platform;
  const base = 10 + Math.floor(Math.random() * 200);
  const row = 1 + Math.floor(Math.random() * 200);
  let code = 2;

  function finish() {
    for (const daemon of daemons) daemon.kill();
    for (const group of groups.values()) group.end();
    platform?.end();
    record.say(code === 0 ? 'HELD' : code === 1 ? 'BROKEN' : 'NOT RUN');
    record.flush();
    if (process.env.KEEP) process.stdout.write(`logs in ${temporary}\n`);
    else rmSync(temporary, {recursive: true, force: true});
    process.exit(code);
  }
  setTimeout(() => {
    record.say('it took too long');
    finish();
  }, MOST_MS).unref();
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, finish);

  const world = {
    record,
    groups,
    daemons,
    async startPlatform() {
      platform = await startPlatform({
        record,
        promote: (service, id) => groups.get(service)?.promote(id) ?? Promise.resolve(false),
      });
      return platform;
    },
    get platform() {
      return platform;
    },
    /** Starts a daemon in each of the zones named, and waits until it is ready. */
    async startDaemons(places, options = {}) {
      const zones = [...new Set(places)];
      const started = await Promise.all(
        places.map((zone, i) =>
          startDaemon({
            name: `front-${zone}-${i + 1}`,
            ip: `127.${base}.${row}.${i + 1}`,
            zone,
            zones,
            store: platform.address,
            folder: temporary,
            record,
            ...options,
          }),
        ),
      );
      daemons.push(...started);
      for (const daemon of started) {
        if (!(await daemon.untilReady(20_000)))
          throw new Error(`${daemon.name} is not ready`);
      }
      // All start for the first time; traffic comes after they know each other.
      await sleep(3000);
    },
    /** Starts a machine again that has exited. */
    async restart({name, ip, zone}) {
      const daemon = await startDaemon({name, ip, zone, zones: [zone], store: platform.address, folder: temporary, record, first: false});
      daemons.push(daemon);
      if (!(await daemon.untilReady(20_000))) throw new Error(`${name} is not ready`);
      return daemon;
    },
  };
  try {
    record.say(TROUBLE ? 'with the disruption' : 'without the disruption');
    code = (await play(world)) ? 0 : 1;
  } catch (err) {
    record.say(`it couldn't run: ${err.stack}`);
  }
  finish();
}
