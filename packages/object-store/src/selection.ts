/**
 * Selections: which fields of a JSON value are used. What else a value has, which
 * may be far larger, is neither kept nor passed on.
 */
import {isNestedTooDeep} from './nesting.js';

/** What of a value is used. */
export type Selection =
  /** A text, a number, a boolean or null. */
  | {readonly type: 'scalar'}
  | {readonly type: 'list'; readonly items: Selection}
  | {readonly type: 'record'; readonly fields: ReadonlyMap<string, Selection>}
  /** A value that becomes `NESTED_TOO_DEEP` if it is, used or not. */
  | {readonly type: 'contents'; readonly value: Selection};

/**
 * Longest text that is selected, in characters; a longer one counts as a value of
 * another type. Names, addresses and keys have some dozens.
 */
export const MAX_TEXT_LENGTH = 4096;

/**
 * Stands for a part of another type than the selection names, and for a text that
 * is too long. No field that is used may be null.
 */
export const OTHER_TYPE = null;

/** Stands for contents that are nested deeper than any valid ones. */
export const NESTED_TOO_DEEP = Symbol('nested too deep');

/** Selects a text, a number, a boolean or null. */
export const SCALAR: Selection = {type: 'scalar'};

/** Selects an array, and `items` of each of its items. */
export function listOf(items: Selection): Selection {
  return {type: 'list', items};
}

/** Selects these fields of an object. */
export function recordOf(
  fields: Readonly<Record<string, Selection>>,
): Selection {
  return {type: 'record', fields: new Map(Object.entries(fields))};
}

/** Selects these scalar fields of an object. */
export function scalarsOf(...names: readonly string[]): Selection {
  return {type: 'record', fields: new Map(names.map(name => [name, SCALAR]))};
}

/** Selects `value` of contents that anyone may have written. */
export function contentsOf(value: Selection): Selection {
  return {type: 'contents', value};
}

/** What a scalar is selected as; `OTHER_TYPE` for a text that is too long. */
export function selectScalar(value: unknown): unknown {
  const isLong = typeof value === 'string' && value.length > MAX_TEXT_LENGTH;
  return isLong ? OTHER_TYPE : value;
}

/** Returns the selected part of a decoded JSON value, as a copy. */
export function select(selection: Selection, value: unknown): unknown {
  switch (selection.type) {
    case 'scalar':
      return typeof value === 'object' ? OTHER_TYPE : selectScalar(value);
    case 'list':
      if (!Array.isArray(value)) return OTHER_TYPE;
      return value.map(item => select(selection.items, item));
    case 'record':
      return selectFields(selection.fields, value);
    case 'contents':
      if (isNestedTooDeep(value)) return NESTED_TOO_DEEP;
      return select(selection.value, value);
  }
}

function selectFields(
  fields: ReadonlyMap<string, Selection>,
  value: unknown,
): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    return OTHER_TYPE;
  const selected: Record<string, unknown> = {};
  for (const [name, selection] of fields) {
    const found = (value as Record<string, unknown>)[name];
    if (found !== undefined) selected[name] = select(selection, found);
  }
  return selected;
}
