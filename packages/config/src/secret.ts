/** Callers' passwords as the configuration holds them, hashed by scrypt. */
import {randomBytes, scrypt, timingSafeEqual} from 'node:crypto';

const SALT_BYTES = 16;
const HASH_BYTES = 32;

function derive(password: string, salt: Buffer): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    scrypt(password, salt, HASH_BYTES, (err, hash) => {
      if (err) reject(err);
      else resolve(hash);
    });
  });
}

/** The secret `scrypt$<salt>$<hash>` of a password, with a new salt. */
export async function hashSecret(password: string): Promise<string> {
  const salt = randomBytes(SALT_BYTES);
  const hash = await derive(password, salt);
  return `scrypt$${salt.toString('base64url')}$${hash.toString('base64url')}`;
}

/** Whether `password` is the one that `secret` was made of. */
export async function verifySecret(
  secret: string,
  password: string,
): Promise<boolean> {
  const [, salt = '', hash = ''] = secret.split('$');
  const wanted = Buffer.from(hash, 'base64url');
  const found = await derive(password, Buffer.from(salt, 'base64url'));
  return wanted.length === found.length && timingSafeEqual(wanted, found);
}
