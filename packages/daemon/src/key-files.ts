/** Reads TLS keys and certificates from files and reloads them on change. */
import {readFileSync, statSync} from 'node:fs';
import {messageOf} from '@quetzalreel/common';
import type {Log} from './log.js';

/** Paths of files that are reloaded together, by the name of their key. */
export type KeyPaths<Name extends string> = Readonly<Record<Name, string>>;

/**
 * Returns a function that returns the files' contents. It reads all files again
 * if the modification time of one has changed; if reading fails, it logs the
 * error and returns the previous contents. Throws if the first read fails.
 */
export function keyFiles<Name extends string>(
  paths: KeyPaths<Name>,
  log: Log,
): () => Record<Name, Buffer> {
  const entries = Object.entries(paths) as Array<[Name, string]>;
  const modificationTimes = () =>
    entries.map(([, path]) => statSync(path).mtimeMs).join(' ');
  const read = () =>
    Object.fromEntries(
      entries.map(([name, path]) => [name, readFileSync(path)]),
    ) as Record<Name, Buffer>;
  let lastModified = modificationTimes();
  let keys = read();
  return () => {
    try {
      const now = modificationTimes();
      if (now === lastModified) return keys;
      keys = read();
      lastModified = now;
      log.info({files: entries.map(([name]) => name)}, 'keys read again');
    } catch (err) {
      log.error({why: messageOf(err)}, 'keys not read');
    }
    return keys;
  };
}
