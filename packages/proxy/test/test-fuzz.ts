/**
 * What the store view takes into force from odd objects and offers. A configuration
 * that can't be read must leave the one in force as it is, whoever sent it.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {mutated, oddValue} from '@quetzalreel/checks';
import {manualClock} from '@quetzalreel/common';
import {
  KindStore,
  StoreUnavailableError,
  scalarsOf,
} from '@quetzalreel/object-store';
import {createLog} from '../src/log.js';
import {
  type ListedEndpoint,
  type RoutingTable,
  StoreFormat,
} from '../src/routes.js';
import {storeView} from '../src/store-view.js';

const SEED = 56;
const FROM = '10.0.0.9:1';
const CONFIGURATION = 'config';
const SERVERS = 'servers';

class AbsentStore extends KindStore {
  private unavailable(): Promise<never> {
    return Promise.reject(new StoreUnavailableError('away', true));
  }
  list = () => this.unavailable();
  get = () => this.unavailable();
  create = () => this.unavailable();
  replace = () => this.unavailable();
  remove = () => this.unavailable();
  watch = () => this.unavailable();
}

function isGeneration(value: unknown): value is number {
  return Number.isSafeInteger(value);
}

/**
 * The generation of a value; undefined when it can't be read. An array has none:
 * what arrives as JSON or CBOR has no named fields then.
 */
function generationOf(value: unknown): number | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  if (Array.isArray(value)) return undefined;
  const {generation} = value as {generation?: unknown};
  return isGeneration(generation) ? generation : undefined;
}

class GenerationFormat extends StoreFormat {
  readonly configuration = {
    kind: CONFIGURATION,
    name: 'main',
    selection: scalarsOf('generation'),
  };
  readonly endpoints = {kind: SERVERS, selection: scalarsOf('generation')};

  readConfiguration(value: unknown): RoutingTable {
    const generation = generationOf(value);
    if (generation === undefined) throw new Error('no generation');
    const none = {routes: new Map(), groups: new Map(), accounts: undefined};
    return {generation, ...none, idleTransactionMs: 1000};
  }

  readEndpoint(id: string, value: unknown): ListedEndpoint {
    const startedAt = generationOf(value);
    if (startedAt === undefined) throw new Error('no start');
    return {
      id,
      group: 'g',
      host: '10.0.0.1',
      port: 1,
      dataCentre: 'z',
      slots: 1,
      leaving: false,
      saysPrimary: false,
      startedAt,
      sequence: undefined,
      coldMs: 0,
    };
  }
}

function viewWithoutStore(onConfiguration: (table: RoutingTable) => void) {
  return storeView({
    instance: 'self',
    peers: {links: [FROM], fleetSize: 2, sendFact: () => {}},
    suspensionDetector: {suspensionCount: () => 0} as never,
    timeOfDay: () => 1,
    isFirstStart: false,
    store: new AbsentStore(),
    clock: manualClock(),
    log: createLog('self', {write: () => true} as never),
    catalog: new GenerationFormat(),
    onConfiguration,
    onEndpoints: () => {},
  });
}

const VALUES = [1, 2, 3].map(generation => ({generation, more: {n: [1]}}));
const value = fc.oneof(
  fc.constantFrom(...VALUES),
  oddValue,
  mutated(VALUES[1]),
);

describe('a view of the store', () => {
  it('has the newest configuration that can be read in force, whatever is offered', () => {
    const property = fc.property(fc.array(value, {maxLength: 10}), offers => {
      const applied: number[] = [];
      const view = viewWithoutStore(table => applied.push(table.generation));
      let inForce: number | undefined;
      for (const offer of offers) {
        view.offerConfiguration(offer);
        const generation = generationOf(offer);
        const isNewer = generation !== undefined && !(generation <= inForce!);
        if (isNewer) inForce = generation;
        assert.equal(view.table?.generation, inForce);
        assert.equal(view.rawConfiguration?.generation, inForce);
      }
      const rising = [...new Set(applied)].sort((a, b) => a - b);
      assert.deepEqual(applied, rising);
      view.dispose();
    });
    fc.assert(property, {seed: SEED, numRuns: 500});
  });

  it('keeps a configuration and an endpoint in force beside objects that can not be read', () => {
    const property = fc.property(value, value, (first, second) => {
      const view = viewWithoutStore(() => {});
      const deltaOf = (
        kind: string,
        objects: ReadonlyArray<[string, unknown]>,
      ) =>
        view.receiveFact({
          type: 'kindDelta',
          from: FROM,
          delta: {
            kind,
            since: 0,
            era: 0,
            revision: 9,
            events: objects.map(([name, item]) => ({
              object: {name, revision: 9, value: item},
              deleted: false,
            })),
          },
        });
      view.offerConfiguration({generation: 5});
      deltaOf(CONFIGURATION, [
        ['main', first],
        ['other', {generation: 99}],
      ]);
      deltaOf(SERVERS, [
        ['odd', second],
        ['valid', {generation: 1}],
      ]);
      const generation = Math.max(5, generationOf(first) ?? 0);
      assert.equal(view.table?.generation, generation);
      const listed = view.endpointsByGroup().get('g') ?? [];
      const ids = listed.map(({id}) => id);
      const isOddListed = generationOf(second) !== undefined;
      assert.deepEqual(ids.sort(), isOddListed ? ['odd', 'valid'] : ['valid']);
      view.dispose();
    });
    fc.assert(property, {seed: SEED, numRuns: 500});
  });
});
