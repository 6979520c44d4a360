/** Reads a caller's key, which leaves this process only as a digest. */
import {createHash} from 'node:crypto';
import {open} from 'node:fs/promises';
import {CommandError} from './errors.js';

/** Path that stands for standard input. */
export const STANDARD_INPUT = '-';
/** Maximum length of a key with its line break, in bytes. */
const MAX_KEY_BYTES = 4096;
/** Line break at the end of a key, which files and terminals add. */
const LINE_BREAK = /\r?\n$/;

/** The SHA-256 digest, in hexadecimal, of the key in a file. */
export async function readKeyDigest(
  path: string,
  input: AsyncIterable<Buffer | string> = process.stdin,
): Promise<string> {
  const key =
    path === STANDARD_INPUT
      ? await readKey(input, 'standard input')
      : await readKeyFile(path);
  return createHash('sha256').update(key, 'latin1').digest('hex');
}

async function readKeyFile(path: string): Promise<string> {
  try {
    await using file = await open(path);
    return await readKey(file.createReadStream({autoClose: false}), path);
  } catch (err) {
    if (err instanceof CommandError) throw err;
    throw new CommandError(`${path} can't be read: ${(err as Error).message}`);
  }
}

/** Latin-1 keeps each byte of the key as it is. */
async function readKey(
  input: AsyncIterable<Buffer | string>,
  name: string,
): Promise<string> {
  let text = '';
  for await (const chunk of input) {
    text += Buffer.from(chunk as Buffer).toString('latin1');
    if (text.length > MAX_KEY_BYTES)
      throw new CommandError(`the key in ${name} is too long`);
  }
  const key = text.replace(LINE_BREAK, '');
  if (key === '') throw new CommandError(`no key in ${name}`);
  return key;
}
