/** Structured logs: one JSON line for each event, on standard output. */
import bunyan from 'bunyan';

/** What the daemon logs to. */
export type Log = bunyan;

/** Takes whole lines. */
export interface LogTarget {
  write(line: string): void;
}

/** A log of this instance to `target`. */
export function createLog(
  instance: string,
  target: LogTarget = process.stdout,
): Log {
  return bunyan.createLogger({
    name: 'quetzalreeld',
    instance,
    streams: [{level: 'info', stream: target as NodeJS.WritableStream}],
  });
}
