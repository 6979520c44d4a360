/** HTTP client for the operators' port of the live instances. */
import {InstanceError} from './errors.js';
import {callInstance} from './instance-call.js';

/** State of an endpoint as one instance reports it. */
export interface EndpointState {
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

/** State of a group as one instance reports it. */
export interface GroupState {
  readonly name: string;
  readonly step: string;
  readonly waiting: number;
  readonly held: number;
  readonly endpoints: readonly EndpointState[];
}

/** An entry of one instance's membership list. */
export interface ListedMember {
  readonly id: string;
  readonly admin: string;
  readonly dataCentre: string;
  readonly status: string;
}

/** Response of an instance to `GET /state`. */
export interface InstanceState {
  readonly instance: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  readonly generation?: number;
  readonly changeId?: string;
  readonly storeDown: boolean;
  readonly callers: number;
  readonly groups: readonly GroupState[];
  readonly members: readonly ListedMember[];
  readonly shares: ReadonlyArray<{
    readonly endpoint: string;
    readonly connections: number;
    readonly held: number;
    readonly target: number;
    readonly allowed: number;
  }>;
}

/** A member with its own state; undefined when it did not answer. */
export interface MemberResult {
  readonly id: string;
  readonly status: string;
  readonly state: InstanceState | undefined;
}

/** Requests to the fleet's instances. */
export interface InstanceClient {
  /** State of the first instance that answers. Throws InstanceError. */
  entry(): Promise<InstanceState>;
  /** State of every live member, fetched from the member itself. */
  all(): Promise<readonly MemberResult[]>;
  /** Requests a change of primary from the first instance that accepts it. */
  promote(group: string, endpoint: string): Promise<void>;
}

/** Options of `createInstanceClient`. */
export interface InstanceClientOptions {
  /** Operators' ports of one or more instances, `host:port`, tried in order. */
  readonly addresses: readonly string[];
  readonly token: string;
  readonly timeoutMs: number;
}

/** Creates a client that reaches the fleet through `options.addresses`. */
export function createInstanceClient(
  options: InstanceClientOptions,
): InstanceClient {
  const call = (address: string, path: string, method: 'GET' | 'POST') =>
    callInstance({
      address,
      path,
      method,
      headers: {Authorization: `Bearer ${options.token}`},
      timeoutMs: options.timeoutMs,
    });

  /** Sends the request to each configured address until one succeeds. */
  async function callEntryInstance(
    path: string,
    method: 'GET' | 'POST',
  ): Promise<unknown> {
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

  async function fetchMember(known: ListedMember): Promise<MemberResult> {
    const {id, status, admin} = known;
    try {
      const state = (await call(admin, '/state', 'GET')) as InstanceState;
      return {id, status, state};
    } catch {
      return {id, status, state: undefined};
    }
  }

  const entry = async () =>
    (await callEntryInstance('/state', 'GET')) as InstanceState;
  return {
    entry,
    async all() {
      const found = new Map<string, MemberResult>();
      let known = (await entry()).members;
      // Repeat with the members' own lists: some of the instances may not list
      // an instance that has just joined.
      for (;;) {
        const unvisited = known.filter(
          item => isLive(item) && !found.has(item.id),
        );
        if (unvisited.length === 0) return [...found.values()].sort(byId);
        const results = await Promise.all(unvisited.map(fetchMember));
        for (const member of results) found.set(member.id, member);
        known = results.flatMap(member => member.state?.members ?? []);
      }
    },
    async promote(group, endpoint) {
      await callEntryInstance(`/promote/${group}/${endpoint}`, 'POST');
    },
  };
}

function isLive({status}: ListedMember): boolean {
  return status === 'alive' || status === 'suspect';
}

function byId(a: MemberResult, b: MemberResult): number {
  return a.id < b.id ? -1 : 1;
}
