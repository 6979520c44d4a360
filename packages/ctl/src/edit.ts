/** Applies an operator's change to a configuration. Pure. */
import {type Configuration, parseConfiguration} from '@quetzalreel/config';
import type {Edit} from './command.js';
import {OrderError} from './errors.js';

/** What names a change. */
export interface ChangeNote {
  readonly changeId: string;
  readonly by: string;
  readonly at: string;
  readonly order: string;
}

/** Changes that the history keeps. */
export const MAX_CHANGES = 30;

/** A configuration before the first one. */
export const NOTHING: Configuration = {
  generation: 0,
  changeId: '',
  groups: [],
  kinds: [],
  callers: [],
  changes: [],
};

/**
 * The next generation. `file` is the document of `apply`. Throws OrderError
 * or ConfigurationError.
 */
export function nextConfiguration(
  cfg: Configuration,
  edit: Edit,
  file: unknown,
  note: ChangeNote,
): Configuration {
  const edited =
    edit.type === 'apply' ? fromFile(cfg, file) : editedInPlace(cfg, edit);
  const generation = cfg.generation + 1;
  const changes = [...cfg.changes, {...note, generation}].slice(-MAX_CHANGES);
  const {changeId} = note;
  return parseConfiguration({...edited, generation, changeId, changes});
}

function editedInPlace(
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
    throw new OrderError(`no endpoint ${name}`, `Name one of ${names}.`);
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

/** The file's content; its generation, if it has one, must be the current. */
function fromFile(cfg: Configuration, file: unknown): object {
  if (typeof file !== 'object' || file === null || Array.isArray(file)) {
    const remedy = 'Write an object with groups, kinds and callers.';
    throw new OrderError('the file is no configuration', remedy);
  }
  const {generation} = file as {generation?: unknown};
  if (generation !== undefined && generation !== cfg.generation) {
    const what = `the file was made from generation ${String(generation)}, and ${cfg.generation} holds`;
    const remedy = 'Take over what changed since, and set its generation.';
    throw new OrderError(what, remedy);
  }
  return file;
}
