/**
 * Bounds the memory that callers cause a process to keep: a budget for all
 * connections together. Beyond it the connection that keeps most is closed.
 */
import type {Disposable} from '@quetzalreel/common';

/** What is kept for a caller. */
export const KeptKind = {
  /** A message whose end has not arrived. */
  Message: 'message',
  /** Requests without an answer. */
  Requests: 'requests',
  /** Answers that the caller has not taken. */
  Answers: 'answers',
  /** What the system holds for a caller that is not read from. */
  Unread: 'unread',
  /** Session variables. */
  Values: 'values',
  /** Prepared statements. */
  Prepared: 'prepared',
} as const;

/** One of the values of `KeptKind`. */
export type KeptKind = (typeof KeptKind)[keyof typeof KeptKind];

const KINDS: readonly KeptKind[] = Object.values(KeptKind);

/** Memory of a map entry or a queued request beside its texts, in bytes. */
export const ENTRY_BYTES = 200;

/** Limits of `callerMemory`, in bytes. */
export interface CallerMemoryLimits {
  /** All connections together. */
  readonly totalBytes: number;
  /** A connection that keeps no more than this is never closed. */
  readonly ownBytes: number;
}

/** What one connection keeps. */
export interface CallerShare extends Disposable {
  readonly bytes: number;
  /** Sets what is kept of one kind; may close this or another connection. */
  set(kind: KeptKind, bytes: number): void;
}

/** The budget of what callers cause to be kept. */
export interface CallerMemory {
  readonly limits: CallerMemoryLimits;
  readonly keptBytes: number;
  /** The part of `keptBytes` of one kind. */
  keptOf(kind: KeptKind): number;
  /** Starts to count for one connection; `close` ends it with a reason. */
  join(close: (why: string) => void): CallerShare;
}

/** Text for a caller that is closed. */
const WHY =
  'closed: callers make this instance keep too much, and this connection most; ' +
  'the limit is the caller memory of the instance';

class CountedShare implements CallerShare {
  bytes = 0;
  isOver = false;
  private readonly kept = new Map<KeptKind, number>();

  constructor(
    readonly close: (why: string) => void,
    private readonly onChange: (kind: KeptKind, added: number) => void,
    private readonly onEnd: (share: CountedShare) => void,
  ) {}

  set(kind: KeptKind, bytes: number): void {
    const before = this.kept.get(kind) ?? 0;
    if (this.isOver || bytes === before) return;
    this.kept.set(kind, bytes);
    this.bytes += bytes - before;
    this.onChange(kind, bytes - before);
  }

  dispose(): void {
    if (this.isOver) return;
    for (const kind of this.kept.keys()) this.set(kind, 0);
    this.isOver = true;
    this.onEnd(this);
  }
}

/** Begins with nothing kept. `onClose` is told what a closed connection kept. */
export function callerMemory(
  limits: CallerMemoryLimits,
  onClose: (bytes: number) => void = () => {},
): CallerMemory {
  const shares = new Set<CountedShare>();
  const totals = new Map<KeptKind, number>(KINDS.map(kind => [kind, 0]));
  let keptBytes = 0;

  function largest(): CountedShare | undefined {
    let found: CountedShare | undefined;
    for (const share of shares) {
      if (share.bytes > (found?.bytes ?? limits.ownBytes)) found = share;
    }
    return found;
  }

  function enforce(): void {
    while (keptBytes > limits.totalBytes) {
      const share = largest();
      if (!share) return;
      const {bytes} = share;
      share.dispose();
      onClose(bytes);
      share.close(WHY);
    }
  }

  function change(kind: KeptKind, added: number): void {
    keptBytes += added;
    totals.set(kind, totals.get(kind)! + added);
    if (added > 0) enforce();
  }

  return {
    limits,
    get keptBytes() {
      return keptBytes;
    },
    keptOf: kind => totals.get(kind)!,
    join(close) {
      const share = new CountedShare(close, change, ended =>
        shares.delete(ended),
      );
      shares.add(share);
      return share;
    },
  };
}

/** Counts without a limit, where nobody but this project connects. */
export function unlimitedCallerMemory(): CallerMemory {
  return callerMemory({totalBytes: Infinity, ownBytes: Infinity});
}
