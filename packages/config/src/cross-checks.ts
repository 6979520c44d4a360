/** Checks that look at more than one field of a configuration. */
import {
  AckRule,
  type Configuration,
  DEFAULT_READ_KIND,
  DEFAULT_WRITE_KIND,
  type EndpointConfig,
  type GroupConfig,
  type KindConfig,
} from './configuration.js';
import type {ConfigurationProblem} from './problems.js';

interface Place<T> {
  readonly path: string;
  readonly item: T;
}

/** What makes a well-formed configuration unusable. */
export function findCrossFieldProblems(
  cfg: Configuration,
): ConfigurationProblem[] {
  const groups = placesOf('/groups', cfg.groups);
  const endpoints = groups.flatMap(({path, item}) =>
    placesOf(`${path}/endpoints`, item.endpoints),
  );
  const kinds = placesOf('/kinds', cfg.kinds);
  return [
    ...repeatedNames(groups),
    ...repeatedNames(endpoints),
    ...repeatedAddresses(endpoints),
    ...groups.flatMap(leavingGroup),
    ...repeatedNames(kinds),
    ...kinds.flatMap(unusableKind),
    ...repeatedNames(placesOf('/callers', cfg.callers)),
  ];
}

/** What is allowed, but weakens a promise; told to operators. */
export function configurationWarnings(
  cfg: Configuration,
): ConfigurationProblem[] {
  return placesOf('/groups', cfg.groups).flatMap(weakGroup);
}

function placesOf<T>(path: string, items: readonly T[]): Array<Place<T>> {
  return items.map((item, i) => ({path: `${path}/${i}`, item}));
}

function repeatedNames(
  places: ReadonlyArray<Place<{readonly name: string}>>,
): ConfigurationProblem[] {
  const first = new Map<string, string>();
  const problems: ConfigurationProblem[] = [];
  for (const {path, item} of places) {
    const earlier = first.get(item.name);
    if (earlier === undefined) {
      first.set(item.name, path);
      continue;
    }
    const remedy = `rename the second ${item.name}; the first is ${earlier}`;
    problems.push({path: `${path}/name`, value: item.name, remedy});
  }
  return problems;
}

function repeatedAddresses(
  places: ReadonlyArray<Place<EndpointConfig>>,
): ConfigurationProblem[] {
  const first = new Map<string, string>();
  const problems: ConfigurationProblem[] = [];
  for (const {path, item} of places) {
    const address = `${item.host}:${item.port}`;
    const earlier = first.get(address);
    if (earlier === undefined) {
      first.set(address, item.name);
      continue;
    }
    const remedy = `give another host or port; ${earlier} has this one`;
    problems.push({path, value: address, remedy});
  }
  return problems;
}

function leavingGroup(place: Place<GroupConfig>): ConfigurationProblem[] {
  const {endpoints, name} = place.item;
  if (!endpoints.every(endpoint => endpoint.leaving)) return [];
  const remedy = `keep one endpoint of ${name} with "leaving": false, or remove the group`;
  return [{path: `${place.path}/endpoints`, value: 'all leaving', remedy}];
}

const RESERVED: readonly string[] = [
  DEFAULT_READ_KIND.name,
  DEFAULT_WRITE_KIND.name,
];

function unusableKind(place: Place<KindConfig>): ConfigurationProblem[] {
  const {path, item} = place;
  const problems: ConfigurationProblem[] = [];
  if (RESERVED.includes(item.name)) {
    const remedy = 'choose another name; callers get the built-in kind by it';
    problems.push({path: `${path}/name`, value: item.name, remedy});
  }
  if (item.access === 'read' && item.ack === AckRule.Primary) {
    const remedy = 'remove ack or set "access": "write"; reads have no ack';
    problems.push({path: `${path}/ack`, value: item.ack, remedy});
  }
  return problems;
}

function weakGroup(place: Place<GroupConfig>): ConfigurationProblem[] {
  const {endpoints, name} = place.item;
  const path = `${place.path}/endpoints`;
  const count = endpoints.length;
  const warnings: ConfigurationProblem[] = [];
  if (count === 1) {
    const remedy = `add two endpoints to ${name}; one alone has no replica to change to`;
    warnings.push({path, value: count, remedy});
  } else if (count % 2 === 0) {
    const remedy = `add or remove one endpoint of ${name}; ${count} survive no more losses than ${count - 1}`;
    warnings.push({path, value: count, remedy});
  }
  const centres = new Set(endpoints.map(endpoint => endpoint.dataCentre));
  if (count > 1 && centres.size === 1) {
    const remedy = `spread ${name} over data centres; it is lost with this one`;
    warnings.push({path, value: [...centres][0], remedy});
  }
  return warnings;
}
