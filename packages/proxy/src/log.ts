/** Structured logs: one JSON line for each event. */
import bunyan from 'bunyan';

/** What the daemon logs to. */
export type Log = bunyan;

/** Takes whole lines. */
export interface LogTarget {
  write(line: string): void;
}

/** A log of this instance to `target`. */
export function createLog(instance: string, target: LogTarget): Log {
  return bunyan.createLogger({
    name: 'quetzalreeld',
    instance,
    streams: [{level: 'info', stream: target as NodeJS.WritableStream}],
  });
}
