/**
 * Which instances count when the owners of accounts are chosen, and whether this
 * instance may grant tokens. An instance that vanished from the list may be alive
 * behind a partition: it still counts for `TAKEOVER_MS`, by which time it has
 * stopped for lack of peers that list it.
 */
import {hashOf} from '@quetzalreel/common';
import type {QuotaInstance} from './owners.js';

/** How long an owner that does not confirm holds up its successor. */
export const TAKEOVER_MS = 20_000;
/**
 * How long an instance grants tokens after most instances listed it, or after
 * the store took its entry. Shorter than the takeover by the time that a
 * change of the list takes to reach all instances.
 */
export const LISTED_MS = 15_000;
/** How long a new peer counts as having listed this instance. */
const GRACE_MS = 5000;
/** Age from which a sign that this instance is listed is renewed. */
const RENEWED_MS = 4000;
/** Peers asked beyond the majority, in case some do not answer. */
const SPARE_PEERS = 2;
/** How long an announced instance counts while the list lacks it. */
const ANNOUNCED_MS = 60_000;

/** Instances with what this one knows of them; times are monotonic. */
export interface QuotaFleet {
  /** Changes with any change of the choice of owners. */
  readonly version: number;
  /** Whether the list was read. */
  readonly isKnown: boolean;
  /** All instances, with this one. */
  readonly listed: readonly QuotaInstance[];
  /** The same with those that vanished and may still grant tokens. */
  readonly counted: readonly QuotaInstance[];
  /** Equal on instances that count the same instances. */
  readonly digest: number;
  /** Those that vanished and may still grant tokens. */
  readonly vanished: readonly QuotaInstance[];
  /** Those that announced themselves a short time ago. */
  readonly joined: readonly QuotaInstance[];
  setOthers(others: readonly QuotaInstance[], now: number): void;
  /** Instances that joined, from themselves or from peers. */
  noteJoined(instances: readonly QuotaInstance[], now: number): void;
  /** Instances that vanished from the list of a peer. */
  noteVanished(instances: readonly QuotaInstance[], now: number): void;
  noteLeft(instance: string, now: number): void;
  /** This instance owns nothing from now on. */
  leave(now: number): void;
  /** The peer at an address lists this instance. */
  noteListedBy(address: string, now: number): void;
  /** An instance confirmed that it leaves this one what it owns. */
  noteConfirmed(instance: string): void;
  isConfirmed(instance: string): boolean;
  /** Whether this instance needs confirmations of previous owners. */
  readonly isJoining: boolean;
  /**
   * Whether most instances have told this one since its start who joined and who
   * vanished.
   */
  readonly isIntroduced: boolean;
  hasAddress(address: string): boolean;
  /** Whether enough instances list this one for it to grant tokens. */
  mayGrant(now: number): boolean;
  /** Peers to ask whether they list this instance; empty if enough do. */
  peersToAsk(now: number): QuotaInstance[];
  /** Ends takeovers whose time is over. */
  advance(now: number): void;
}

interface Announcement {
  readonly instance: QuotaInstance;
  readonly at: number;
  /** Whether the list has contained it since. */
  isListed: boolean;
}

interface Vanished {
  readonly instance: QuotaInstance;
  readonly at: number;
}

/** How this instance starts. */
export interface FleetStart {
  readonly self: () => QuotaInstance;
  readonly now: number;
  readonly mayOwnAtOnce: boolean;
  /** Time since the store took the own entry, in milliseconds. */
  readonly renewedMs: () => number;
}

function areEqual(
  a: ReadonlyMap<string, QuotaInstance>,
  b: ReadonlyMap<string, QuotaInstance>,
): boolean {
  if (a.size !== b.size) return false;
  for (const [name, {dataCentre, address}] of a) {
    const other = b.get(name);
    if (other?.address !== address || other.dataCentre !== dataCentre)
      return false;
  }
  return true;
}

const DIGEST_VALUES = 2 ** 32;

function digestOf(instances: readonly QuotaInstance[]): number {
  let sum = 0;
  for (const {instance} of instances) sum += hashOf(instance);
  return sum % DIGEST_VALUES;
}

/** Starts without a list. */
export function quotaFleet(start: FleetStart): QuotaFleet {
  const {self, renewedMs} = start;
  let others: readonly QuotaInstance[] = [];
  let effective = new Map<string, QuotaInstance>();
  const announced = new Map<string, Announcement>();
  const left = new Set<string>();
  const vanished = new Map<string, Vanished>();
  const confirmed = new Set<string>();
  const listedBy = new Map<string, number>();
  let version = 0;
  let digest = 0;
  let isKnown = false;
  let isJoining = !start.mayOwnAtOnce;
  let isIntroduced = false;
  let isLeaving = false;
  let listed: QuotaInstance[] = [];
  let counted: readonly QuotaInstance[] = [];

  function update(now: number): void {
    const next = new Map<string, QuotaInstance>();
    const names = new Set(others.map(({instance}) => instance));
    for (const [name, announcement] of announced) {
      announcement.isListed ||= names.has(name);
      if (now - announcement.at >= ANNOUNCED_MS) announced.delete(name);
      else if (!announcement.isListed) next.set(name, announcement.instance);
    }
    for (const item of others) {
      if (!left.has(item.instance)) next.set(item.instance, item);
    }
    next.delete(self().instance);
    for (const [name, instance] of effective) {
      if (next.has(name) || left.has(name)) continue;
      if (!vanished.has(name)) vanished.set(name, {instance, at: now});
    }
    let isChanged = !areEqual(next, effective);
    for (const name of next.keys())
      isChanged = vanished.delete(name) || isChanged;
    effective = next;
    if (isChanged || version === 0) rebuild(now);
  }

  function rebuild(now: number): void {
    listed = [...effective.values()];
    if (!isLeaving) listed.unshift(self());
    const gone = [...vanished.values()].map(({instance}) => instance);
    counted = [...listed, ...gone];
    digest = digestOf(counted);
    const addresses = new Set(counted.map(({address}) => address));
    for (const address of listedBy.keys()) {
      if (!addresses.has(address)) listedBy.delete(address);
    }
    for (const {address} of effective.values()) {
      if (!listedBy.has(address))
        listedBy.set(address, now - LISTED_MS + GRACE_MS);
    }
    version++;
  }

  /** Instances, with this one, that listed it at most `forMs` ago. */
  function listingCount(now: number, forMs: number): number {
    let count = 1;
    for (const {address} of counted) {
      if (address === self().address) continue;
      const at = listedBy.get(address);
      if (at !== undefined && now - at < forMs) count++;
    }
    return count;
  }

  function majority(): number {
    return Math.floor(counted.length / 2) + 1;
  }

  function hasMajority(now: number): boolean {
    return listingCount(now, LISTED_MS) >= majority();
  }

  return {
    get version() {
      return version;
    },
    get isKnown() {
      return isKnown;
    },
    get listed() {
      return listed;
    },
    get counted() {
      return counted;
    },
    get digest() {
      return digest;
    },
    get vanished() {
      return [...vanished.values()].map(({instance}) => instance);
    },
    get joined() {
      return [...announced.values()].map(({instance}) => instance);
    },
    setOthers(next, now) {
      isKnown = true;
      others = next;
      const names = new Set(next.map(({instance}) => instance));
      for (const name of left) if (!names.has(name)) left.delete(name);
      update(now);
    },
    noteJoined(instances, now) {
      for (const instance of instances) {
        left.delete(instance.instance);
        announced.set(instance.instance, {instance, at: now, isListed: false});
      }
      update(now);
    },
    noteVanished(instances, now) {
      let isChanged = false;
      for (const instance of instances) {
        const name = instance.instance;
        if (name === self().instance) continue;
        if (effective.has(name) || vanished.has(name)) continue;
        vanished.set(name, {instance, at: now});
        isChanged = true;
      }
      if (isChanged) rebuild(now);
    },
    noteLeft(instance, now) {
      left.add(instance);
      announced.delete(instance);
      if (vanished.delete(instance)) rebuild(now);
      update(now);
    },
    leave(now) {
      isLeaving = true;
      rebuild(now);
    },
    noteListedBy(address, now) {
      if (listedBy.has(address)) listedBy.set(address, now);
    },
    noteConfirmed(instance) {
      confirmed.add(instance);
      if (isJoining || !isIntroduced) version++;
      // A list that was read at the start does not show who vanished before.
      const count = listed.filter(item => confirmed.has(item.instance)).length;
      if ((count + 1) * 2 > listed.length) isIntroduced = true;
    },
    isConfirmed: instance => confirmed.has(instance),
    get isIntroduced() {
      return isIntroduced || listed.length === 1;
    },
    get isJoining() {
      return isJoining;
    },
    hasAddress(address) {
      for (const item of effective.values())
        if (item.address === address) return true;
      return false;
    },
    mayGrant(now) {
      return isKnown && (renewedMs() < LISTED_MS || hasMajority(now));
    },
    peersToAsk(now) {
      const isWaiting = isJoining || vanished.size > 0;
      if (!isWaiting && renewedMs() < RENEWED_MS) return [];
      const missing = majority() + SPARE_PEERS - listingCount(now, RENEWED_MS);
      const lastAt = ({address}: QuotaInstance) => listedBy.get(address) ?? 0;
      return [...effective.values()]
        .filter(item => now - lastAt(item) >= RENEWED_MS)
        .sort((a, b) => lastAt(b) - lastAt(a))
        .slice(0, Math.max(0, missing));
    },
    advance(now) {
      // A partitioned minority must not take over: most instances may be alive
      // on the other side, with the owners.
      if (!hasMajority(now)) return;
      const isNew = isJoining || !isIntroduced;
      if (isNew && now - start.now >= TAKEOVER_MS) {
        isJoining = false;
        isIntroduced = true;
        version++;
      }
      let isChanged = false;
      for (const [name, {at}] of vanished) {
        if (now - at < TAKEOVER_MS) continue;
        vanished.delete(name);
        isChanged = true;
      }
      if (isChanged) rebuild(now);
    },
  };
}
