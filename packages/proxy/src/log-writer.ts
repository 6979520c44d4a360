/**
 * Writes log lines without waiting for their reader. Lines are collected in a
 * bounded buffer while a write is in progress. Lines that do not fit are
 * dropped, and a line with their number is written once the reader accepts
 * lines again.
 */
import {write} from 'node:fs';
import type {LogTarget} from './log.js';

/** Writes bytes and calls `done` when they are written or the write failed. */
export type WriteBytes = (
  bytes: Buffer,
  done: (err: Error | null, written: number) => void,
) => void;

/** A log target that never blocks. */
export interface LogWriter extends LogTarget {
  /** Lines dropped since the start. */
  readonly dropped: number;
  /** Bytes waiting to be written. */
  readonly queuedBytes: number;
  /** Resolves when all lines are written, or after `atMostMs`. */
  flush(atMostMs: number): Promise<void>;
}

/**
 * Maximum size of the buffer, in bytes: the log of some seconds with many
 * failures.
 */
const MAX_QUEUED_BYTES = 512 * 1024;
/** Polling interval of `flush`, in milliseconds. */
const FLUSH_STEP_MS = 10;

/** Creates a writer on top of `writeBytes`. */
export function logWriter(writeBytes: WriteBytes): LogWriter {
  let lines: string[] = [];
  let queuedBytes = 0;
  let isWriting = false;
  let dropped = 0;
  let unreportedDrops = 0;

  function writeNext(): void {
    if (isWriting || lines.length === 0) return;
    const bytes = Buffer.from(lines.join(''), 'utf8');
    lines = [];
    queuedBytes = 0;
    isWriting = true;
    writeAll(bytes);
  }

  function writeAll(bytes: Buffer): void {
    writeBytes(bytes, (err, written) => {
      // A write that fails has no reader; its lines count as dropped.
      if (!err && written < bytes.length) {
        writeAll(bytes.subarray(written));
        return;
      }
      if (err) dropped++;
      isWriting = false;
      reportDropped();
      writeNext();
    });
  }

  function reportDropped(): void {
    if (unreportedDrops === 0) return;
    const record = {
      name: 'quetzalreeld',
      level: 40,
      event: 'logDropped',
      lines: unreportedDrops,
      time: new Date().toISOString(),
    };
    unreportedDrops = 0;
    lines.push(`${JSON.stringify(record)}\n`);
  }

  return {
    get dropped() {
      return dropped;
    },
    get queuedBytes() {
      return queuedBytes;
    },
    write(line) {
      if (queuedBytes + line.length > MAX_QUEUED_BYTES) {
        dropped++;
        unreportedDrops++;
        return;
      }
      lines.push(line);
      queuedBytes += line.length;
      // Lines of one turn of the event loop are written together.
      if (lines.length === 1) setImmediate(writeNext);
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

/** Creates a writer to standard output. */
export function standardOutput(): LogWriter {
  return logWriter((bytes, done) => write(STANDARD_OUTPUT, bytes, done));
}
