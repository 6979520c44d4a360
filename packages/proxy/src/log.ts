/** Structured logs: one JSON line for each event. */
import bunyan from 'bunyan';

/** The logger of the daemon. */
export type Log = bunyan;

/** Receives complete log lines. */
export interface LogTarget {
  write(line: string): void;
}

/** Creates the log of this instance, written to `target`. */
export function createLog(instance: string, target: LogTarget): Log {
  return bunyan.createLogger({
    name: 'quetzalreeld',
    instance,
    streams: [{level: 'info', stream: target as NodeJS.WritableStream}],
  });
}
