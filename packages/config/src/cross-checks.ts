/** Validation that involves more than one field of a configuration. */
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

interface Located<T> {
  readonly path: string;
  readonly item: T;
}

/** Reasons why a configuration that matches the schema is invalid. */
export function findCrossFieldProblems(
  cfg: Configuration,
): ConfigurationProblem[] {
  const groups = withPaths('/groups', cfg.groups);
  const endpoints = groups.flatMap(({path, item}) =>
    withPaths(`${path}/endpoints`, item.endpoints),
  );
  const kinds = withPaths('/kinds', cfg.kinds);
  return [
    ...findDuplicateNames(groups),
    ...findDuplicateNames(endpoints),
    ...findDuplicateAddresses(endpoints),
    ...groups.flatMap(findGroupProblems),
    ...findDuplicateNames(kinds),
    ...kinds.flatMap(findKindProblems),
    ...findDuplicateNames(withPaths('/callers', cfg.callers)),
  ];
}

/**
 * Settings that are valid but reduce availability or durability, for operators
 * to review.
 */
export function configurationWarnings(
  cfg: Configuration,
): ConfigurationProblem[] {
  return withPaths('/groups', cfg.groups).flatMap(findGroupWarnings);
}

function withPaths<T>(path: string, items: readonly T[]): Array<Located<T>> {
  return items.map((item, i) => ({path: `${path}/${i}`, item}));
}

function findDuplicateNames(
  places: ReadonlyArray<Located<{readonly name: string}>>,
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

function findDuplicateAddresses(
  places: ReadonlyArray<Located<EndpointConfig>>,
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
    const remedy = `choose another host or port; ${earlier} has this one`;
    problems.push({path, value: address, remedy});
  }
  return problems;
}

function findGroupProblems(
  place: Located<GroupConfig>,
): ConfigurationProblem[] {
  const {endpoints, name} = place.item;
  if (!endpoints.every(endpoint => endpoint.leaving)) return [];
  const remedy = `keep one endpoint of ${name} with "leaving": false, or remove the group`;
  return [{path: `${place.path}/endpoints`, value: 'all leaving', remedy}];
}

const RESERVED_KIND_NAMES: readonly string[] = [
  DEFAULT_READ_KIND.name,
  DEFAULT_WRITE_KIND.name,
];

function findKindProblems(place: Located<KindConfig>): ConfigurationProblem[] {
  const {path, item} = place;
  const problems: ConfigurationProblem[] = [];
  if (RESERVED_KIND_NAMES.includes(item.name)) {
    const remedy =
      'choose another name; this one is reserved for a built-in kind';
    problems.push({path: `${path}/name`, value: item.name, remedy});
  }
  if (item.access === 'read' && item.ack === AckRule.Primary) {
    const remedy = 'remove ack or set "access": "write"; reads have no ack';
    problems.push({path: `${path}/ack`, value: item.ack, remedy});
  }
  return problems;
}

function findGroupWarnings(
  place: Located<GroupConfig>,
): ConfigurationProblem[] {
  const {endpoints, name} = place.item;
  const path = `${place.path}/endpoints`;
  const count = endpoints.length;
  const warnings: ConfigurationProblem[] = [];
  if (count === 1) {
    const remedy = `add two endpoints to ${name}; a single endpoint has no replica to fail over to`;
    warnings.push({path, value: count, remedy});
  } else if (count % 2 === 0) {
    const remedy = `add or remove one endpoint of ${name}; ${count} endpoints tolerate no more failures than ${count - 1}`;
    warnings.push({path, value: count, remedy});
  }
  const dataCentres = new Set(endpoints.map(endpoint => endpoint.dataCentre));
  if (count > 1 && dataCentres.size === 1) {
    const remedy = `spread ${name} over several data centres; an outage of this one stops the group`;
    warnings.push({path, value: [...dataCentres][0], remedy});
  }
  return warnings;
}
