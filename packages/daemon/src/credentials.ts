/**
 * Checks callers' passwords. The hash takes tens of milliseconds by design,
 * so a password that was right is remembered, as a keyed digest only.
 */
import {createHmac, randomBytes} from 'node:crypto';
import {type Configuration, verifySecret} from '@quetzalreel/config';

/** Checks callers' passwords. */
export interface CredentialChecker {
  /** Whether `password` is the caller's by the configuration in force. */
  verify(user: string, password: string): Promise<boolean>;
  /** Hashes computed so far. */
  readonly hashCount: number;
}

/** Right passwords that are remembered. */
const MAX_REMEMBERED_PASSWORDS = 10_000;

/** Compared when a caller is not known, so that it takes as long. */
const UNKNOWN_CALLER_SECRET = `scrypt$${'A'.repeat(22)}$${'A'.repeat(43)}`;

/** A checker that knows the callers of `configuration()`. */
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

  function remember(id: string, outcome: Promise<boolean>): void {
    verifiedPasswords.set(id, outcome);
    if (verifiedPasswords.size <= MAX_REMEMBERED_PASSWORDS) return;
    const [oldest] = verifiedPasswords.keys();
    verifiedPasswords.delete(oldest!);
  }

  return {
    get hashCount() {
      return hashCount;
    },
    async verify(user, password) {
      const caller = configuration().callers.find(item => item.name === user);
      // The secret is part of the key: a changed one is hashed anew.
      const secret = caller?.secret ?? UNKNOWN_CALLER_SECRET;
      const id = digest(secret, password);
      const known = verifiedPasswords.get(id);
      if (known) return (await known) && caller !== undefined;
      hashCount++;
      const outcome = verifySecret(secret, password);
      remember(id, outcome);
      const isRight = await outcome.catch(() => false);
      if (!isRight || !caller) verifiedPasswords.delete(id);
      return isRight && caller !== undefined;
    },
  };
}
