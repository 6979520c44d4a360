/** Structured logs, one JSON line for each routing or placement decision. */
import bunyan from 'bunyan';

/** What the daemon logs to. */
export type Log = bunyan;

/** A log of this instance on standard error. */
export function createLog(instance: string, level: string): Log {
  return bunyan.createLogger({
    name: 'quetzalreeld',
    instance,
    level: level as bunyan.LogLevelString,
    stream: process.stderr,
  });
}
