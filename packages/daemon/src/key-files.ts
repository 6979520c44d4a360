/** Keys from files, taken up again when the files change. */
import {readFileSync, statSync} from 'node:fs';
import {messageOf} from '@quetzalreel/common';
import type {Log} from './log.js';

/** Files that belong together, by the names that the keys get. */
export type KeyPaths<Name extends string> = Readonly<Record<Name, string>>;

/**
 * Returns a function that gives the files' contents. They are read when one
 * of them has changed; when that fails, the last ones stay in use and a line
 * is logged. Throws when they can't be read at the start.
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
