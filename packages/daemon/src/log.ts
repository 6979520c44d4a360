/** Structured logs, one JSON line for each routing or placement decision. */
import bunyan from 'bunyan';

/** Logger of the daemon. */
export type Log = bunyan;

/** Creates a logger that writes to standard error. */
export function createLog(instance: string, level: string): Log {
  return bunyan.createLogger({
    name: 'quetzalreeld',
    instance,
    level: level as bunyan.LogLevelString,
    stream: process.stderr,
  });
}
