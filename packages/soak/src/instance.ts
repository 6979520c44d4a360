/** One daemon of the soak: a real process, ended and paused by signals. */
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
/** Between a request to stop and the kill, in milliseconds; the platform's. */
const GRACE_MS = 6000;
/** Between two questions whether it is ready, and the wait for an answer, in
 * milliseconds. */
const READY_EVERY_MS = 150;
/** Misses after which callers are sent there no more; the platform's. */
const MOST_MISSES = 2;
/** Heap of a daemon, in megabytes, as on the platform. */
const HEAP_MB = 160;

/** What an instance is started with. */
export interface InstanceOptions {
  readonly name: string;
  /** Its own address on loopback. */
  readonly ip: string;
  readonly dataCentre: string;
  readonly storePort: number;
  /** Folder for its settings and its log. */
  readonly folder: string;
  /** Told when it ends without being asked to. */
  readonly onOwnEnd: (name: string) => void;
}

/** An instance. */
export interface SoakInstance {
  readonly name: string;
  /** Callers connect here. */
  readonly callers: Loopback;
  /** Its links to the store. */
  readonly store: Loopback;
  /** Counts its starts. */
  readonly incarnation: number;
  /** Whether callers are sent there. */
  readonly inRotation: boolean;
  /** Whether a process is there and was not asked to end. */
  readonly isRunning: boolean;
  /** Kills it and starts it again after `downMs`. */
  kill(downMs: number): Promise<void>;
  /** Stops it as planned and starts it again. */
  stop(): Promise<void>;
  pause(): void;
  resume(): void;
  /** Writes its settings again and tells it so, unless it is being started:
   * the signal ends a process whose program is not yet loaded. */
  reload(): void;
  /** Ends it for good. */
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
  let misses = MOST_MISSES;
  let isOver = false;
  /** Whether its end was asked for. */
  let isEnding = false;
  /** Whether the process has answered since its start. */
  let hasAnswered = false;

  function writeSettings(): void {
    const settings = {
      name,
      dataCentre,
      ip,
      store: {host: HOST, port: store.port},
      graceMs: GRACE_MS,
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
      options.onOwnEnd(name);
      start();
    });
  }

  /** Sends a signal and waits for the end. */
  async function endWith(signal: NodeJS.Signals): Promise<void> {
    const ending = child;
    if (!ending) return;
    isEnding = true;
    const ended = new Promise<void>(resolve =>
      ending.once('exit', () => resolve()),
    );
    ending.kill(signal);
    // A paused process gets the signal when it runs again.
    if (signal === 'SIGTERM') ending.kill('SIGCONT');
    const late = setTimeout(() => ending.kill('SIGKILL'), GRACE_MS);
    await ended;
    clearTimeout(late);
  }

  async function watchReadiness(): Promise<void> {
    while (!isOver) {
      const asked = incarnation;
      const ready = child !== undefined && (await isReady(ip, READY_EVERY_MS));
      if (ready && asked === incarnation) hasAnswered = true;
      misses = ready ? 0 : misses + 1;
      await new Promise(resolve => setTimeout(resolve, READY_EVERY_MS));
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
      return misses < MOST_MISSES;
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
