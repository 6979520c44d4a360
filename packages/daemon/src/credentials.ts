/**
 * Checks callers' passwords. The password hash takes tens of milliseconds by
 * design, so correct passwords are cached, only as keyed digests.
 */
import {createHmac, randomBytes} from 'node:crypto';
import {type Configuration, verifySecret} from '@quetzalreel/config';

/** Checks callers' passwords. */
export interface CredentialChecker {
  /** Whether `password` is correct under the configuration in force. */
  verify(user: string, password: string): Promise<boolean>;
  /** Number of password hashes computed so far. */
  readonly hashCount: number;
}

/** Maximum number of cached passwords. */
const MAX_CACHED_PASSWORDS = 10_000;

/**
 * Compared when the caller is unknown, so that the check takes the same time.
 */
const UNKNOWN_CALLER_SECRET = `scrypt$${'A'.repeat(22)}$${'A'.repeat(43)}`;

/** Creates a checker for the callers in `configuration()`. */
export function credentialChecker(
  configuration: () => Configuration,
): CredentialChecker {
  const key = randomBytes(32);
  const verifiedPasswords = new Map<string, Promise<boolean>>();
  let hashCount = 0;

  function digest(secret: string, password: string): string {
    return createHmac('sha256', key)
      .update(`${secret}\n${password}`)
      .digest('base64');
  }

  function addToCache(id: string, outcome: Promise<boolean>): void {
    verifiedPasswords.set(id, outcome);
    if (verifiedPasswords.size <= MAX_CACHED_PASSWORDS) return;
    const [oldest] = verifiedPasswords.keys();
    verifiedPasswords.delete(oldest!);
  }

  return {
    get hashCount() {
      return hashCount;
    },
    async verify(user, password) {
      const caller = configuration().callers.find(item => item.name === user);
      // The cache key contains the secret, so a changed secret misses.
      const secret = caller?.secret ?? UNKNOWN_CALLER_SECRET;
      const id = digest(secret, password);
      const known = verifiedPasswords.get(id);
      if (known) return (await known) && caller !== undefined;
      hashCount++;
      const outcome = verifySecret(secret, password);
      addToCache(id, outcome);
      const isCorrect = await outcome.catch(() => false);
      if (!isCorrect || !caller) verifiedPasswords.delete(id);
      return isCorrect && caller !== undefined;
    },
  };
}
