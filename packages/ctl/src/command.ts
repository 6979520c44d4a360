/** Commands of `qrctl`, parsed with the grammar in `grammar/qrctl.ohm`. */
import {readFileSync} from 'node:fs';
import {type Node, grammar} from 'ohm-js';
import {CommandError} from './errors.js';

/** The subjects of the `show` command. */
export type Topic =
  | 'endpoints'
  | 'groups'
  | 'members'
  | 'generation'
  | 'changes'
  | 'shares'
  | 'sessions'
  | 'kinds';

/** A command that changes the configuration. */
export type Edit =
  | {
      readonly type: 'leaving';
      readonly endpoint: string;
      readonly leaving: boolean;
    }
  | {
      readonly type: 'setKind';
      readonly kind: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  | {readonly type: 'apply'; readonly path: string};

/** A parsed command. */
export type Command =
  | Edit
  | {
      readonly type: 'show';
      readonly topic: Topic;
      readonly group: string | undefined;
    }
  | {
      readonly type: 'promote';
      readonly endpoint: string;
      readonly group: string;
    }
  | {readonly type: 'history'};

const GRAMMAR = grammar(
  readFileSync(new URL('../../grammar/qrctl.ohm', import.meta.url), 'utf8'),
);

const semantics = GRAMMAR.createSemantics().addOperation<unknown>('read', {
  Show: (_show, topic, group): Command => ({
    type: 'show',
    topic: topic.sourceString as Topic,
    group: group.child(0)?.['read']() as string | undefined,
  }),
  InGroup: (_in, _group, name) => name.sourceString,
  Leave: (_drain, _endpoint, name): Command => ({
    type: 'leaving',
    endpoint: name.sourceString,
    leaving: true,
  }),
  Return: (_return, _endpoint, name): Command => ({
    type: 'leaving',
    endpoint: name.sourceString,
    leaving: false,
  }),
  Promote: (_promote, _endpoint, name, _in, _group, group): Command => ({
    type: 'promote',
    endpoint: name.sourceString,
    group: group.sourceString,
  }),
  SetKind: (_set, _kind, name, assignments): Command => ({
    type: 'setKind',
    kind: name.sourceString,
    fields: Object.fromEntries(
      assignments.children.map(
        (child: Node) => child['read']() as [string, string],
      ),
    ),
  }),
  Assignment: (field, _equals, value) => [
    field.sourceString,
    parseLiteral(value.sourceString),
  ],
  Apply: (_apply, path): Command => ({
    type: 'apply',
    path: path.sourceString,
  }),
  History: word => ({type: word.sourceString as 'history'}),
});

/** Converts `true`, `false` and decimal digits; other text stays a string. */
function parseLiteral(text: string): string | number | boolean {
  if (text === 'true' || text === 'false') return text === 'true';
  return /^\d+$/.test(text) ? Number(text) : text;
}

/** Parses a command line. Throws CommandError. */
export function parseCommand(text: string): Command {
  const match = GRAMMAR.match(text);
  if (match.failed()) {
    throw new CommandError(`invalid command: ${match.shortMessage}`);
  }
  return semantics(match)['read']() as Command;
}

/** Formats an edit as one line, as it is stored in the history. */
export function formatEdit(edit: Edit): string {
  switch (edit.type) {
    case 'leaving':
      return `${edit.leaving ? 'drain' : 'return'} endpoint ${edit.endpoint}`;
    case 'setKind': {
      const fields = Object.entries(edit.fields);
      const list = fields.map(([field, value]) => `${field}=${value}`);
      return `set kind ${edit.kind} ${list.join(' ')}`;
    }
    case 'apply':
      return 'apply file';
  }
}
