/**
 * Base class of errors with a kind that code can test. The message states what
 * failed and what can be done about it.
 */
import VError from 'verror';

/** An error with a kind and a suggested remedy. */
export class TypedError extends VError {
  /** Stable name of this kind of error. */
  readonly kind: string;
  /** What a user or operator can do about it, in one sentence. */
  readonly remedy: string;

  constructor(kind: string, what: string, remedy: string, cause?: unknown) {
    const options = cause instanceof Error ? {name: kind, cause} : {name: kind};
    super(options, '%s', `${what}. ${remedy}`);
    this.kind = kind;
    this.remedy = remedy;
  }
}

/** Returns the message of any thrown value. */
export function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
