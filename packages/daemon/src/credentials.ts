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
  readonly hashed: number;
}

/** Right passwords that are remembered. */
const MAX_REMEMBERED = 10_000;

/** Compared when a caller is not known, so that it takes as long. */
const NOBODY = `scrypt$${'A'.repeat(22)}$${'A'.repeat(43)}`;

/** A checker that knows the callers of `configuration()`. */
export function credentialChecker(
  configuration: () => Configuration,
): CredentialChecker {
  const key = randomBytes(32);
  const right = new Map<string, Promise<boolean>>();
  let hashed = 0;

  function digest(secret: string, password: string): string {
    return createHmac('sha256', key)
      .update(`${secret}\n${password}`)
      .digest('base64');
  }

  function remember(id: string, outcome: Promise<boolean>): void {
    right.set(id, outcome);
    if (right.size <= MAX_REMEMBERED) return;
    const [oldest] = right.keys();
    right.delete(oldest!);
  }

  return {
    get hashed() {
      return hashed;
    },
    async verify(user, password) {
      const caller = configuration().callers.find(item => item.name === user);
      // The secret is part of the key: a changed one is hashed anew.
      const secret = caller?.secret ?? NOBODY;
      const id = digest(secret, password);
      const known = right.get(id);
      if (known) return (await known) && caller !== undefined;
      hashed++;
      const outcome = verifySecret(secret, password);
      remember(id, outcome);
      const isRight = await outcome.catch(() => false);
      if (!isRight || !caller) right.delete(id);
      return isRight && caller !== undefined;
    },
  };
}
