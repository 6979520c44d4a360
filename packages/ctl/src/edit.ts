/** Applies an operator's edit to a configuration. Pure functions. */
import {type Configuration, parseConfiguration} from '@quetzalreel/config';
import type {Edit} from './command.js';
import {OrderError} from './errors.js';

/** Identity, author, time and command line of a change, for the history. */
export interface ChangeMetadata {
  readonly changeId: string;
  readonly by: string;
  readonly at: string;
  /** The command as one line, from `formatEdit`. */
  readonly order: string;
}

/** Number of the newest changes that the configuration's history keeps. */
export const MAX_HISTORY_CHANGES = 30;

/** Used in place of a configuration while none is stored. */
export const EMPTY_CONFIGURATION: Configuration = {
  generation: 0,
  changeId: '',
  groups: [],
  kinds: [],
  callers: [],
  changes: [],
};

/**
 * Returns the configuration after `edit`, with the next generation number.
 * `file` is the parsed document of an `apply` command. Throws OrderError or
 * ConfigurationError.
 */
export function nextConfiguration(
  cfg: Configuration,
  edit: Edit,
  file: unknown,
  note: ChangeMetadata,
): Configuration {
  const edited =
    edit.type === 'apply'
      ? configurationFromFile(cfg, file)
      : withEdit(cfg, edit);
  const generation = cfg.generation + 1;
  const changes = [...cfg.changes, {...note, generation}].slice(
    -MAX_HISTORY_CHANGES,
  );
  const {changeId} = note;
  return parseConfiguration({...edited, generation, changeId, changes});
}

function withEdit(
  cfg: Configuration,
  edit: Exclude<Edit, {type: 'apply'}>,
): object {
  return edit.type === 'leaving'
    ? withLeaving(cfg, edit.endpoint, edit.leaving)
    : withKind(cfg, edit.kind, edit.fields);
}

function withLeaving(
  cfg: Configuration,
  name: string,
  leaving: boolean,
): Configuration {
  const all = cfg.groups.flatMap(group => group.endpoints);
  if (!all.some(endpoint => endpoint.name === name)) {
    const names = all.map(endpoint => endpoint.name).join(', ');
    throw new OrderError(`unknown endpoint ${name}`, `Use one of ${names}.`);
  }
  const groups = cfg.groups.map(group => ({
    ...group,
    endpoints: group.endpoints.map(endpoint =>
      endpoint.name === name ? {...endpoint, leaving} : endpoint,
    ),
  }));
  return {...cfg, groups};
}

function withKind(
  cfg: Configuration,
  name: string,
  fields: Readonly<Record<string, unknown>>,
): object {
  const known = cfg.kinds.some(kind => kind.name === name);
  const kinds = cfg.kinds.map(kind =>
    kind.name === name ? {...kind, ...fields} : kind,
  );
  return {...cfg, kinds: known ? kinds : [...kinds, {name, ...fields}]};
}

/** Checks the file. If it has a generation, this must be the current one. */
function configurationFromFile(cfg: Configuration, file: unknown): object {
  if (typeof file !== 'object' || file === null || Array.isArray(file)) {
    const remedy = 'Write an object with groups, kinds and callers.';
    throw new OrderError(
      'the file does not hold a configuration object',
      remedy,
    );
  }
  const {generation} = file as {generation?: unknown};
  if (generation !== undefined && generation !== cfg.generation) {
    const what = `the file is based on generation ${String(generation)}, but the current generation is ${cfg.generation}`;
    const remedy =
      'Merge the changes made since into the file and update its generation.';
    throw new OrderError(what, remedy);
  }
  return file;
}
