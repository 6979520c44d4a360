/**
 * The quotas of client accounts on this instance. They start when the
 * configuration limits an account and the instances are known, so that
 * deployments without limits send no message for them.
 */
import type {Clock, Disposable} from '@quetzalreel/common';
import {
  type AccountQuotaState,
  type AccountQuotas,
  type Admission,
  type QuotaInstance,
  type QuotaMessage,
  type QuotaRule,
  type RateLimit,
  accountQuotas,
} from '@quetzalreel/quota';
import type {AccountDirectory, ClientAccount} from './accounts.js';
import {TIMES} from './defaults.js';
import type {Log} from './log.js';

/** The instances that share the quotas, as this one knows them. */
export interface QuotaPeers {
  /** Undefined until the store has told them. */
  readonly quotaInstances:
    | {readonly self: QuotaInstance; readonly others: readonly QuotaInstance[]}
    | undefined;
  readonly wasListedAtStart: boolean;
  readonly isListed: boolean;
  sendQuota(address: string, message: QuotaMessage): void;
}

/** Dependencies of the quotas. */
export interface OperationQuotasContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly rule: QuotaRule;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  readonly suspensions: () => number;
  readonly peers: () => QuotaPeers;
}

/** Decides whether operations of client accounts may start. */
export interface OperationQuotas extends Disposable {
  admit(account: ClientAccount): Admission | Promise<Admission>;
  /** Applies the limits of a configuration. */
  applyAccounts(accounts: AccountDirectory | undefined): void;
  /** Applies a change of the instances. */
  noteInstances(): void;
  receive(message: QuotaMessage): void;
  /** Called before this instance leaves the list at a planned stop. */
  leave(): void;
  readonly state: readonly AccountQuotaState[];
}

const ADMITTED: Admission = {type: 'admitted'};
const NOT_STARTED: Admission = {
  type: 'refused',
  retryMs: TIMES.firstCopyMs,
  why: 'this instance has not read the list of instances yet',
};

/** Creates the quotas of an instance without limits. */
export function operationQuotas(
  context: OperationQuotasContext,
): OperationQuotas {
  const {clock, log} = context;
  let limits: ReadonlyMap<string, RateLimit> = new Map();
  let quotas: AccountQuotas | undefined;

  function apply(): void {
    const peers = context.peers();
    const instances = peers.quotaInstances;
    if (!instances || (limits.size === 0 && !quotas)) return;
    quotas ??= accountQuotas({
      clock,
      rule: context.rule,
      self: () => context.peers().quotaInstances!.self,
      suspensions: context.suspensions,
      send: (address, message) => context.peers().sendQuota(address, message),
      mayOwnAtOnce: context.isFirstStart || peers.wasListedAtStart,
      renewedMs: () => (context.peers().isListed ? 0 : Infinity),
      onEvent: event => log.info(event),
    });
    quotas.setInstances(instances.others);
    quotas.setLimits(limits);
  }

  return {
    admit({name, limit}) {
      if (!limit) return ADMITTED;
      return quotas ? quotas.admit(name) : NOT_STARTED;
    },
    applyAccounts(accounts) {
      const next = new Map<string, RateLimit>();
      for (const {name, limit} of accounts?.accounts ?? [])
        if (limit) next.set(name, limit);
      limits = next;
      apply();
    },
    noteInstances: apply,
    receive: message => quotas?.receive(message),
    leave: () => quotas?.leave(),
    get state() {
      return quotas?.state ?? [];
    },
    dispose: () => quotas?.dispose(),
  };
}
