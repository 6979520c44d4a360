/**
 * Queries about changes of primary: witnesses confirm that an instance's change
 * records are complete, and all instances confirm an announced change.
 */
import type {Clock, Disposable} from '@quetzalreel/common';
import type {
  ChangeRecord,
  ChangeRecords,
  Confirmations,
} from '@quetzalreel/failover';
import {digestOf, highestFence} from '@quetzalreel/failover';
import type {PeerTransport} from '@quetzalreel/peer';
import type {ChangeMessage, PeerQueryMessage} from './messages.js';

/** An instance and the address of its peer port, `host:port`. */
export interface PeerAddress {
  readonly instance: string;
  readonly address: string;
}

/** The change records of this instance. */
export interface ChangeSource {
  readonly changes: ChangeRecords;
  addChanges(changes: Iterable<ChangeRecord>): void;
  /**
   * Resolves once no transaction of this instance is open at the primary that a
   * planned change replaces, or after a bounded time.
   */
  finishTransactions(change: ChangeRecord): Promise<void>;
  /** When this instance last sent an order; undefined for never. */
  readonly lastOrderAt: number | undefined;
  /**
   * Notes that the store was restored: a lease that it lost is not used any more.
   */
  noteEra(era: number): void;
}

/** Dependencies and limits of `changeQueries`. */
export interface ChangeQueryContext {
  readonly instance: string;
  readonly transport: PeerTransport<PeerQueryMessage>;
  readonly clock: Clock;
  readonly source: ChangeSource;
  /** Time limit for the answers to a query, in milliseconds. */
  readonly answerTimeoutMs: number;
  /** How long a confirmation counts as renewed permission, in milliseconds. */
  readonly renewedMs: number;
}

/** Queries to peers about changes of primary. */
export interface ChangeQueries {
  receive(message: ChangeMessage): void;
  /**
   * Asks `peers` to confirm this instance's records, and adds those that it
   * lacks. Calls `onAnswer` with the number of answers after each one.
   */
  confirmChanges(
    peers: readonly PeerAddress[],
    onAnswer: (answers: number) => void,
  ): void;
  /**
   * Announces a change to `peers`; resolves when all have answered or the time
   * for answers is over. `witnesses` are names of instances.
   */
  announce(
    change: ChangeRecord,
    peers: readonly PeerAddress[],
    witnesses: readonly string[],
  ): Promise<Confirmations>;
  /**
   * Whether all of `peers` answer that they have sent no order for `idleMs`, and
   * use no lease of before `era` any more.
   */
  areIdle(
    peers: readonly PeerAddress[],
    era: number,
    idleMs: number,
  ): Promise<boolean>;
}

interface PendingQuery {
  receive(message: ChangeMessage): void;
}

/** Creates the queries of one instance. */
export function changeQueries(context: ChangeQueryContext): ChangeQueries {
  const {transport, clock, source, instance, answerTimeoutMs} = context;
  const pending = new Map<number, PendingQuery>();
  /** When this instance last confirmed the records of each requester. */
  const renewedAt = new Map<string, number>();
  let lastSeq = 0;

  function startQuery(query: PendingQuery, onEnd: () => void): Disposable {
    const seq = ++lastSeq;
    pending.set(seq, query);
    const end = () => {
      timer.dispose();
      if (pending.delete(seq)) onEnd();
    };
    const timer = clock.after(answerTimeoutMs, end);
    return {dispose: end};
  }

  function renewedNames(): string[] {
    const since = clock.now() - context.renewedMs;
    for (const [name, at] of renewedAt) {
      if (at < since) renewedAt.delete(name);
    }
    return [...renewedAt.keys()];
  }

  function confirmFor(
    message: Extract<ChangeMessage, {type: 'changesWanted'}>,
  ): void {
    const {from, seq, digest} = message;
    renewedAt.set(message.instance, clock.now());
    const {changes} = source;
    const isEqual = digestOf(changes) === digest;
    transport.send(from, {
      type: 'changes',
      from: transport.address,
      seq,
      changes: isEqual ? undefined : [...changes.values()],
    });
  }

  function askToConfirm(
    change: ChangeRecord,
    peers: readonly PeerAddress[],
    witnesses: readonly string[],
  ): Promise<Confirmations> {
    const told = peers.map(peer => peer.instance);
    const confirmed = new Set<string>();
    const renewed = new Set<string>(renewedNames());
    let isOutdated = false;
    return new Promise(resolve => {
      const query = startQuery(
        {
          receive(message) {
            if (message.type !== 'changeNoted') return;
            confirmed.add(message.instance);
            for (const name of message.renewed) renewed.add(name);
            if (message.fence > change.fence) isOutdated = true;
            if (confirmed.size === told.length) query.dispose();
          },
        },
        () => {
          const confirmedBy = clock.now();
          const answers = {told, confirmed, renewed, witnesses};
          resolve({...answers, confirmedBy, isOutdated});
        },
      );
      if (told.length === 0) query.dispose();
      const message = {
        type: 'changeAnnounced',
        from: transport.address,
        seq: lastSeq,
        instance,
        change,
      } as const;
      for (const {address} of peers) transport.send(address, message);
    });
  }

  async function note(
    message: Extract<ChangeMessage, {type: 'changeAnnounced'}>,
  ): Promise<void> {
    const {from, seq, change} = message;
    source.addChanges([change]);
    if (change.isPlanned) await source.finishTransactions(change);
    transport.send(from, {
      type: 'changeNoted',
      from: transport.address,
      seq,
      instance,
      fence: highestFence(source.changes),
      renewed: renewedNames(),
    });
  }

  function answerLastOrder(
    message: Extract<ChangeMessage, {type: 'lastOrderWanted'}>,
  ): void {
    const {from, seq, era} = message;
    source.noteEra(era);
    const {lastOrderAt} = source;
    transport.send(from, {
      type: 'lastOrder',
      from: transport.address,
      seq,
      msAgo: lastOrderAt === undefined ? undefined : clock.now() - lastOrderAt,
    });
  }

  function areIdle(
    peers: readonly PeerAddress[],
    era: number,
    idleMs: number,
  ): Promise<boolean> {
    const idle = new Set<string>();
    return new Promise(resolve => {
      const query = startQuery(
        {
          receive(message) {
            if (message.type !== 'lastOrder') return;
            if ((message.msAgo ?? Infinity) < idleMs) query.dispose();
            else idle.add(message.from);
            if (idle.size === peers.length) query.dispose();
          },
        },
        () => resolve(idle.size === peers.length),
      );
      if (peers.length === 0) query.dispose();
      const from = transport.address;
      const message = {
        type: 'lastOrderWanted',
        from,
        seq: lastSeq,
        era,
      } as const;
      for (const {address} of peers) transport.send(address, message);
    });
  }

  return {
    areIdle,
    receive(message) {
      switch (message.type) {
        case 'lastOrderWanted':
          answerLastOrder(message);
          return;
        case 'changesWanted':
          confirmFor(message);
          return;
        case 'changeAnnounced':
          void note(message);
          return;
        case 'changes':
          source.addChanges(message.changes ?? []);
          pending.get(message.seq)?.receive(message);
          return;
        case 'changeNoted':
        case 'lastOrder':
          pending.get(message.seq)?.receive(message);
          return;
      }
    },
    confirmChanges(peers, onAnswer) {
      const answered = new Set<string>();
      const query = startQuery(
        {
          receive({from}) {
            answered.add(from);
            onAnswer(answered.size);
            if (answered.size === peers.length) query.dispose();
          },
        },
        () => {},
      );
      const message = {
        type: 'changesWanted',
        from: transport.address,
        seq: lastSeq,
        instance,
        digest: digestOf(source.changes),
      } as const;
      for (const {address} of peers) transport.send(address, message);
    },
    async announce(change, peers, witnesses) {
      const [answers] = await Promise.all([
        askToConfirm(change, peers, witnesses),
        change.isPlanned ? source.finishTransactions(change) : undefined,
      ]);
      return answers;
    },
  };
}
