/** A store for tests whose reads that may be old are answered with older data. */
import type {Clock} from '@quetzalreel/common';
import {
  Freshness,
  type KindChanges,
  type KindObject,
  type KindSnapshot,
  KindStore,
  type ReadObject,
  RevisionConflictError,
  StoreUnavailableError,
} from '@quetzalreel/object-store';

interface Version {
  readonly at: number;
  readonly revision: number;
  readonly objects: ReadonlyMap<string, KindObject>;
}

/** Holds one kind of objects. Times are in milliseconds. */
export class StaleStore extends KindStore {
  /** How old the data of reads is that may be old. */
  staleMs = 0;
  /** Whether calls that change something are refused. */
  refusesWrites = false;
  /** Whether such calls are carried out, but not answered. */
  losesAnswers = false;
  /** Whether reads are refused. */
  refusesReads = false;
  /** Number of lists that had to be current. */
  currentLists = 0;
  private versions: Version[] = [
    {at: -Infinity, revision: 1, objects: new Map()},
  ];

  constructor(private readonly clock: Clock) {
    super();
  }

  private get newest(): Version {
    return this.versions[this.versions.length - 1]!;
  }

  async list(
    _kind: string,
    freshness: Freshness = Freshness.Current,
  ): Promise<KindSnapshot> {
    if (this.refusesReads) throw new StoreUnavailableError('refused', true);
    if (freshness === Freshness.Current) this.currentLists++;
    const {objects, revision} = this.versionFor(freshness);
    return {era: 0, revision, objects: [...objects.values()]};
  }

  private versionFor(freshness: Freshness): Version {
    if (freshness === Freshness.Current) return this.newest;
    const until = this.clock.now() - this.staleMs;
    return this.versions.filter(({at}) => at <= until).at(-1)!;
  }

  async get(_kind: string, name: string): Promise<ReadObject | undefined> {
    const object = this.newest.objects.get(name);
    return object && {...object, era: 0};
  }

  async create(
    kind: string,
    name: string,
    value: unknown,
  ): Promise<ReadObject> {
    const current = this.newest.objects.get(name);
    if (current) throw new RevisionConflictError(kind, name, current);
    return this.put(name, value);
  }

  async replace(
    kind: string,
    name: string,
    value: unknown,
    revision: number,
  ): Promise<ReadObject> {
    const current = this.newest.objects.get(name);
    if (current?.revision !== revision)
      throw new RevisionConflictError(kind, name, current);
    return this.put(name, value);
  }

  private put(name: string, value: unknown): ReadObject {
    if (this.refusesWrites) throw new StoreUnavailableError('refused', true);
    const revision = this.newest.revision + 1;
    const object = {name, revision, value};
    this.change(new Map(this.newest.objects).set(name, object));
    if (this.losesAnswers) throw new StoreUnavailableError('no answer', false);
    return {...object, era: 0};
  }

  private change(objects: ReadonlyMap<string, KindObject>): void {
    const revision = this.newest.revision + 1;
    this.versions.push({at: this.clock.now(), revision, objects});
  }

  async remove(_kind: string, name: string): Promise<void> {
    const objects = new Map(this.newest.objects);
    if (objects.delete(name)) this.change(objects);
  }

  watch(): Promise<KindChanges> {
    return new Promise(() => {});
  }
}
