/** Structured logs: one JSON line for each event, on standard output. */
import bunyan from 'bunyan';

/** What the daemon logs to. */
export type Log = bunyan;

/** A log of this instance. */
export function createLog(instance: string): Log {
  return bunyan.createLogger({
    name: 'quetzalreeld',
    instance,
    level: 'info',
    stream: process.stdout,
  });
}
