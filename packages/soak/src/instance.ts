/** One daemon of the soak: a real process, stopped and paused by signals. */
import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  INSTANCE_PORTS,
  SETTINGS_VARIABLE,
  isReady,
  formatSettings,
} from '@quetzalreel/platform-adapter/standin';
import {type Loopback, startLoopback} from './loopback.js';

const DAEMON = fileURLToPath(
  new URL('main.js', import.meta.resolve('@quetzalreel/platform-adapter')),
);
const HOST = '127.0.0.1';
/** Time from SIGTERM to SIGKILL, in milliseconds, as on the platform. */
const GRACE_MS = 6000;
/** Pause between readiness probes, and the timeout of each, in
 * milliseconds. */
const READY_PROBE_INTERVAL_MS = 150;
/** Consecutive failed probes after which an instance gets no new callers, as
 * on the platform. */
const MAX_MISSED_PROBES = 2;
/** Heap limit of a daemon, in megabytes, as on the platform. */
const HEAP_MB = 160;

/** Options of `startInstance`. */
export interface InstanceOptions {
  readonly name: string;
  /** The instance's own loopback address. */
  readonly ip: string;
  readonly dataCentre: string;
  readonly storePort: number;
  readonly checksFences: boolean;
  /** Folder for the settings file and the log. */
  readonly folder: string;
  /** Called when the process exits without a request to stop it. */
  readonly onUnexpectedExit: (name: string) => void;
}

/** A running instance and its proxies. */
export interface SoakInstance {
  readonly name: string;
  /** Proxy that callers connect to. */
  readonly callers: Loopback;
  /** Proxy for the instance's connections to the store. */
  readonly store: Loopback;
  /** Number of process starts so far. */
  readonly incarnation: number;
  /** Whether callers may open sessions on this instance. */
  readonly inRotation: boolean;
  /** Whether the process exists and no stop was requested. */
  readonly isRunning: boolean;
  /** Kills the process and restarts it after `downMs`. */
  kill(downMs: number): Promise<void>;
  /** Stops the process gracefully and restarts it. */
  stop(): Promise<void>;
  pause(): void;
  resume(): void;
  /** Rewrites the settings file and sends SIGHUP, except during a start: the
   * signal would end a process that has not loaded its program yet. */
  reload(): void;
  /** Kills the process, without a restart, and closes the proxies. */
  end(): Promise<void>;
}

/** Starts an instance. */
export async function startInstance(
  options: InstanceOptions,
): Promise<SoakInstance> {
  const {name, ip, dataCentre, folder} = options;
  const store = await startLoopback({host: HOST, port: options.storePort});
  const callers = await startLoopback({host: ip, port: INSTANCE_PORTS.callers});
  const settingsPath = path.join(folder, `${name}.json`);
  const logPath = path.join(folder, `${name}.log`);
  let child: ChildProcess | undefined;
  let incarnation = 0;
  let misses = MAX_MISSED_PROBES;
  let isOver = false;
  /** Whether a stop of the current process was requested. */
  let isEnding = false;
  /** Whether the process has answered a readiness probe since its start. */
  let hasAnswered = false;

  function writeSettings(): void {
    const settings = {
      name,
      dataCentre,
      ip,
      store: {host: HOST, port: store.port},
      graceMs: GRACE_MS,
      checksFences: options.checksFences,
    };
    writeFileSync(settingsPath, formatSettings(settings));
  }

  function start(): void {
    if (isOver) return;
    incarnation++;
    isEnding = false;
    hasAnswered = false;
    const log = openSync(logPath, 'a');
    const started = spawn(
      process.execPath,
      [`--max-old-space-size=${HEAP_MB}`, DAEMON],
      {
        env: {...process.env, [SETTINGS_VARIABLE]: settingsPath},
        stdio: ['ignore', log, log],
      },
    );
    closeSync(log);
    child = started;
    started.once('exit', () => {
      if (child !== started) return;
      child = undefined;
      if (isEnding) return;
      options.onUnexpectedExit(name);
      start();
    });
  }

  /** Sends a signal and waits for the process to exit. */
  async function endWith(signal: NodeJS.Signals): Promise<void> {
    const ending = child;
    if (!ending) return;
    isEnding = true;
    const ended = new Promise<void>(resolve =>
      ending.once('exit', () => resolve()),
    );
    ending.kill(signal);
    // A paused process handles SIGTERM only after SIGCONT.
    if (signal === 'SIGTERM') ending.kill('SIGCONT');
    const late = setTimeout(() => ending.kill('SIGKILL'), GRACE_MS);
    await ended;
    clearTimeout(late);
  }

  async function watchReadiness(): Promise<void> {
    while (!isOver) {
      const asked = incarnation;
      const ready =
        child !== undefined && (await isReady(ip, READY_PROBE_INTERVAL_MS));
      if (ready && asked === incarnation) hasAnswered = true;
      misses = ready ? 0 : misses + 1;
      await new Promise(resolve =>
        setTimeout(resolve, READY_PROBE_INTERVAL_MS),
      );
    }
  }

  writeSettings();
  start();
  void watchReadiness();
  return {
    name,
    callers,
    store,
    get incarnation() {
      return incarnation;
    },
    get inRotation() {
      return misses < MAX_MISSED_PROBES;
    },
    get isRunning() {
      return child !== undefined && !isEnding;
    },
    async kill(downMs) {
      if (isEnding) return;
      await endWith('SIGKILL');
      await new Promise(resolve => setTimeout(resolve, downMs));
      start();
    },
    async stop() {
      if (isEnding) return;
      await endWith('SIGTERM');
      start();
    },
    pause: () => void child?.kill('SIGSTOP'),
    resume: () => void child?.kill('SIGCONT'),
    reload() {
      writeSettings();
      if (hasAnswered) child?.kill('SIGHUP');
    },
    async end() {
      isOver = true;
      await endWith('SIGKILL');
      store.dispose();
      callers.dispose();
    },
  };
}
