/**
 * Writes log lines without ever waiting for their reader: lines gather in a
 * bounded buffer while one write is under way, and what does not fit is
 * dropped, counted, and told of once the reader takes lines again.
 */
import {write} from 'node:fs';
import type {LogTarget} from './log.js';

/** Writes bytes and calls back when they are written or can't be. */
export type WriteBytes = (
  bytes: Buffer,
  done: (err: Error | null, written: number) => void,
) => void;

/** A target that never blocks. */
export interface LogWriter extends LogTarget {
  /** Lines that were dropped since the start. */
  readonly dropped: number;
  /** Bytes that wait to be written. */
  readonly queuedBytes: number;
  /** Resolves when all lines are written, or after `atMostMs`. */
  flush(atMostMs: number): Promise<void>;
}

/** Bytes that may wait: some seconds of a day with many troubles. */
const MAX_WAITING_BYTES = 512 * 1024;
/** Between two looks while a flush waits, in milliseconds. */
const FLUSH_STEP_MS = 10;

/** A writer over `writeBytes`. */
export function logWriter(writeBytes: WriteBytes): LogWriter {
  let lines: string[] = [];
  let waitingBytes = 0;
  let isWriting = false;
  let dropped = 0;
  let untold = 0;

  function next(): void {
    if (isWriting || lines.length === 0) return;
    const bytes = Buffer.from(lines.join(''), 'utf8');
    lines = [];
    waitingBytes = 0;
    isWriting = true;
    writeAll(bytes);
  }

  function writeAll(bytes: Buffer): void {
    writeBytes(bytes, (err, written) => {
      // Without a reader there is nobody to tell; the lines count as dropped.
      if (!err && written < bytes.length) {
        writeAll(bytes.subarray(written));
        return;
      }
      if (err) dropped++;
      isWriting = false;
      tellDropped();
      next();
    });
  }

  function tellDropped(): void {
    if (untold === 0) return;
    const told = {
      name: 'quetzalreeld',
      level: 40,
      event: 'logDropped',
      lines: untold,
      time: new Date().toISOString(),
    };
    untold = 0;
    lines.push(`${JSON.stringify(told)}\n`);
  }

  return {
    get dropped() {
      return dropped;
    },
    get queuedBytes() {
      return waitingBytes;
    },
    write(line) {
      if (waitingBytes + line.length > MAX_WAITING_BYTES) {
        dropped++;
        untold++;
        return;
      }
      lines.push(line);
      waitingBytes += line.length;
      // Lines of one turn of the event loop go out together.
      if (lines.length === 1) setImmediate(next);
    },
    async flush(atMostMs) {
      for (let waited = 0; waited < atMostMs; waited += FLUSH_STEP_MS) {
        if (!isWriting && lines.length === 0) return;
        await new Promise(resolve => setTimeout(resolve, FLUSH_STEP_MS));
      }
    },
  };
}

const STANDARD_OUTPUT = 1;

/** A writer to standard output. */
export function standardOutput(): LogWriter {
  return logWriter((bytes, done) => write(STANDARD_OUTPUT, bytes, done));
}
