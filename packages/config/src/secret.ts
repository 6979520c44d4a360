/** Hashes passwords of callers with scrypt for storage in the configuration. */
import {randomBytes, scrypt, timingSafeEqual} from 'node:crypto';

const SALT_BYTES = 16;
const HASH_BYTES = 32;

function deriveHash(password: string, salt: Buffer): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    scrypt(password, salt, HASH_BYTES, (err, hash) => {
      if (err) reject(err);
      else resolve(hash);
    });
  });
}

/** Hashes a password with a new salt, as `scrypt$<salt>$<hash>`. */
export async function hashSecret(password: string): Promise<string> {
  const salt = randomBytes(SALT_BYTES);
  const hash = await deriveHash(password, salt);
  return `scrypt$${salt.toString('base64url')}$${hash.toString('base64url')}`;
}

/** Whether `secret` is a hash of `password`. */
export async function verifySecret(
  secret: string,
  password: string,
): Promise<boolean> {
  const [, salt = '', hash = ''] = secret.split('$');
  const expected = Buffer.from(hash, 'base64url');
  const actual = await deriveHash(password, Buffer.from(salt, 'base64url'));
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
