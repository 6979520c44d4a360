/**
 * Base of the typed errors. Each error has a kind that code can test, and a
 * message that says what happened and what the reader can do about it.
 */
import VError from 'verror';

/** An error with a kind to test for and a remedy to act on. */
export class TypedError extends VError {
  /** Stable name of this kind of error. */
  readonly kind: string;
  /** What the reader can do about it, one sentence. */
  readonly remedy: string;

  constructor(kind: string, what: string, remedy: string, cause?: unknown) {
    const options = cause instanceof Error ? {name: kind, cause} : {name: kind};
    super(options, '%s', `${what}. ${remedy}`);
    this.kind = kind;
    this.remedy = remedy;
  }
}

/** The message of anything that was thrown. */
export function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
