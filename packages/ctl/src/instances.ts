/** Asks the live instances what holds on them. */
import {InstanceError} from './errors.js';

/** An endpoint as one instance sees it. */
export interface EndpointRow {
  readonly name: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
  readonly reach: string;
  readonly role?: string;
  readonly term?: number;
  readonly position?: string;
  readonly busy: number;
  readonly capacity: number;
}

/** A group as one instance sees it. */
export interface GroupRow {
  readonly name: string;
  readonly step: string;
  readonly waiting: number;
  readonly held: number;
  readonly endpoints: readonly EndpointRow[];
}

/** A member as one instance knows it. */
export interface KnownMember {
  readonly id: string;
  readonly admin: string;
  readonly dataCentre: string;
  readonly status: string;
}

/** What one instance tells. */
export interface InstanceState {
  readonly instance: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  readonly generation?: number;
  readonly changeId?: string;
  readonly storeDown: boolean;
  readonly callers: number;
  readonly groups: readonly GroupRow[];
  readonly members: readonly KnownMember[];
  readonly shares: ReadonlyArray<{
    readonly endpoint: string;
    readonly connections: number;
    readonly held: number;
    readonly target: number;
    readonly allowed: number;
  }>;
}

/** A member and what it told; `state` is undefined when it did not answer. */
export interface Member {
  readonly id: string;
  readonly status: string;
  readonly state: InstanceState | undefined;
}

/** Access to instances. */
export interface Instances {
  /** What the instance that was named tells. Throws InstanceError. */
  entry(): Promise<InstanceState>;
  /** Every live member that the named instance knows, asked itself. */
  all(): Promise<readonly Member[]>;
  /** Orders a change of primary from the named instance. */
  promote(group: string, endpoint: string): Promise<void>;
}

/** How to reach instances. */
export interface InstancesOptions {
  /** Operators' ports of some instances, `host:port`; the first to answer. */
  readonly addresses: readonly string[];
  readonly token: string;
  readonly timeoutMs: number;
}

/** Access to the instances behind `options.addresses`. */
export function instances(options: InstancesOptions): Instances {
  async function call(
    address: string,
    path: string,
    method: string,
  ): Promise<unknown> {
    const headers = {Authorization: `Bearer ${options.token}`};
    const signal = AbortSignal.timeout(options.timeoutMs);
    let res: Response;
    let body: unknown;
    try {
      res = await fetch(`http://${address}${path}`, {method, headers, signal});
      body = await res.json();
    } catch (err) {
      throw new InstanceError(address, 'does not answer', err);
    }
    if (res.ok) return body;
    const {error} = body as {error?: string};
    throw new InstanceError(address, `refuses: ${error ?? res.status}`);
  }

  /** Calls the first of the named instances that answers. */
  async function callEntry(path: string, method: string): Promise<unknown> {
    let lastErr: unknown = new InstanceError('none', 'is named');
    for (const address of options.addresses) {
      try {
        return await call(address, path, method);
      } catch (err) {
        lastErr = err;
      }
    }
    throw lastErr;
  }

  async function askMember(known: KnownMember): Promise<Member> {
    const {id, status, admin} = known;
    try {
      const state = (await call(admin, '/state', 'GET')) as InstanceState;
      return {id, status, state};
    } catch {
      return {id, status, state: undefined};
    }
  }

  const entry = async () => (await callEntry('/state', 'GET')) as InstanceState;
  return {
    entry,
    async all() {
      const found = new Map<string, Member>();
      let known = (await entry()).members;
      // An instance that just joined may be known to some of them only.
      for (;;) {
        const fresh = known.filter(item => isLive(item) && !found.has(item.id));
        if (fresh.length === 0) return [...found.values()].sort(byId);
        const told = await Promise.all(fresh.map(askMember));
        for (const member of told) found.set(member.id, member);
        known = told.flatMap(member => member.state?.members ?? []);
      }
    },
    async promote(group, endpoint) {
      await callEntry(`/promote/${group}/${endpoint}`, 'POST');
    },
  };
}

function isLive({status}: KnownMember): boolean {
  return status === 'alive' || status === 'suspect';
}

function byId(a: Member, b: Member): number {
  return a.id < b.id ? -1 : 1;
}
