/** Learns the configuration from the platform and puts it in force. */
import {type Clock, type Disposable, messageOf} from '@quetzalreel/common';
import {type Configuration, parseConfiguration} from '@quetzalreel/config';
import type {PlatformClient} from '@quetzalreel/platform';
import type {Log} from './log.js';

/** Name of the configuration's object in the platform's store. */
export const CONFIGURATION_OBJECT = 'configuration';

/** Times of the exchange with the platform, in milliseconds. */
export interface ConfigTimes {
  /** Longest wait of one watch. */
  readonly watchMs: number;
  /** Pause after a failure. */
  readonly retryMs: number;
}

/** Follows the configuration until disposed. */
export interface ConfigFollower extends Disposable {
  /** The configuration in force, once there is one. */
  readonly current: Configuration | undefined;
  /** Resolves when there is one. */
  readonly first: Promise<Configuration>;
}

/** Starts following; `apply` is called with each higher generation. */
export function followConfiguration(
  platform: PlatformClient,
  clock: Clock,
  log: Log,
  times: ConfigTimes,
  apply: (cfg: Configuration) => void,
): ConfigFollower {
  let current: Configuration | undefined;
  let stopped = false;
  let resolveFirst: (cfg: Configuration) => void = () => {};
  const first = new Promise<Configuration>(resolve => {
    resolveFirst = resolve;
  });

  function offer(document: unknown): void {
    const cfg = parseConfiguration(document);
    if (current && cfg.generation <= current.generation) return;
    current = cfg;
    log.info({generation: cfg.generation}, 'configuration in force');
    apply(cfg);
    resolveFirst(cfg);
  }

  async function loop(): Promise<void> {
    let seen = 0;
    while (!stopped) {
      try {
        const object = await platform.watch(
          CONFIGURATION_OBJECT,
          seen,
          times.watchMs,
        );
        if (!object) continue;
        seen = object.version;
        offer(object.value);
      } catch (err) {
        log.warn({why: messageOf(err)}, 'configuration not read');
        await clock.sleep(times.retryMs);
      }
    }
  }

  void loop();
  return {
    get current() {
      return current;
    },
    first,
    dispose() {
      stopped = true;
    },
  };
}
