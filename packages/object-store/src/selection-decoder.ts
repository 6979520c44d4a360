/**
 * Decodes the selected part of a JSON text that arrives in pieces. The rest is
 * passed over without being built, so the memory that it takes does not depend on
 * the length of the text. Inside of what is passed over only the nesting is
 * checked.
 */
import {Tokenizer, TokenType} from '@streamparser/json';
import {MAX_NESTING} from './nesting.js';
import {
  NESTED_TOO_DEEP,
  OTHER_TYPE,
  type Selection,
  selectScalar,
} from './selection.js';

/** Texts are put together in pieces of this length, in bytes. */
const TEXT_BUFFER_BYTES = 64 * 1024;

/** Decodes one JSON text. */
export interface SelectionDecoder {
  /** Takes the next bytes. */
  push(bytes: Uint8Array): void;
  /** The selected part; undefined if the text is not JSON or not complete. */
  end(): unknown;
}

/** What may follow in an array or object. */
const Expected = {
  /** An item or a key, or the end of an empty array or object. */
  FirstOrEnd: 'firstOrEnd',
  /** An item or a key, after a comma. */
  Next: 'next',
  Colon: 'colon',
  /** The value of a key. */
  Value: 'value',
  CommaOrEnd: 'commaOrEnd',
} as const;

type Expected = (typeof Expected)[keyof typeof Expected];

/** An array or object that is being built. */
interface Container {
  readonly isList: boolean;
  /** The items of an array, or the fields of an object. */
  readonly value: unknown[] | Record<string, unknown>;
  /** What of an item, or of the field `key`, is used; undefined for nothing. */
  readonly selectionOf: (key: string) => Selection | undefined;
  expected: Expected;
  key: string;
}

/** Where the innermost contents begin whose nesting is checked. */
interface Contents {
  /** Number of arrays and objects around them. */
  readonly depth: number;
  isTooDeep: boolean;
}

class NotJsonError extends Error {}

function isOpening(token: TokenType): boolean {
  return token === TokenType.LEFT_BRACE || token === TokenType.LEFT_BRACKET;
}

function isClosing(token: TokenType): boolean {
  return token === TokenType.RIGHT_BRACE || token === TokenType.RIGHT_BRACKET;
}

function isScalar(token: TokenType): boolean {
  switch (token) {
    case TokenType.STRING:
    case TokenType.NUMBER:
    case TokenType.TRUE:
    case TokenType.FALSE:
    case TokenType.NULL:
      return true;
    default:
      return false;
  }
}

/** Creates a decoder of one text. */
export function selectionDecoder(selection: Selection): SelectionDecoder {
  const containers: Container[] = [];
  /** Number of arrays and objects that are open and passed over. */
  let passedOver = 0;
  let contents: Contents | undefined;
  let result: unknown;
  let isComplete = false;
  let hasFailed = false;

  /** What of the next value is used; undefined for nothing. */
  function nextSelection(): Selection | undefined {
    const container = containers.at(-1);
    return container ? container.selectionOf(container.key) : selection;
  }

  function beginContents(): void {
    const depth = containers.length;
    contents = {depth, isTooDeep: false};
  }

  /** Notes the nesting of the array or object that was opened last. */
  function noteNesting(): void {
    if (!contents) return;
    const nesting = containers.length + passedOver - contents.depth - 1;
    if (nesting > MAX_NESTING) contents.isTooDeep = true;
  }

  /** The selection without the mark of contents, whose check it begins. */
  function opened(wanted: Selection | undefined): Selection | undefined {
    if (wanted?.type !== 'contents') return wanted;
    beginContents();
    return wanted.value;
  }

  function open(token: TokenType): void {
    const wanted = opened(nextSelection());
    const isList = token === TokenType.LEFT_BRACKET;
    const expected = Expected.FirstOrEnd;
    if (isList && wanted?.type === 'list') {
      const selectionOf = () => wanted.items;
      containers.push({isList, value: [], selectionOf, expected, key: ''});
    } else if (!isList && wanted?.type === 'record') {
      const selectionOf = (key: string) => wanted.fields.get(key);
      containers.push({isList, value: {}, selectionOf, expected, key: ''});
    } else {
      passedOver++;
    }
    noteNesting();
  }

  /** Takes a complete value into the array or object around it. */
  function finish(value: unknown): void {
    const isContents = contents?.depth === containers.length;
    const finished =
      isContents && contents?.isTooDeep ? NESTED_TOO_DEEP : value;
    if (isContents) contents = undefined;
    const container = containers.at(-1);
    if (!container) {
      result = finished;
      isComplete = true;
      return;
    }
    container.expected = Expected.CommaOrEnd;
    if (Array.isArray(container.value)) container.value.push(finished);
    else if (container.selectionOf(container.key))
      container.value[container.key] = finished;
  }

  function finishScalar(value: unknown): void {
    const wanted = nextSelection();
    const inner = wanted?.type === 'contents' ? wanted.value : wanted;
    finish(inner?.type === 'scalar' ? selectScalar(value) : OTHER_TYPE);
  }

  function takeValue(token: TokenType, value: unknown): void {
    if (isOpening(token)) open(token);
    else if (isScalar(token)) finishScalar(value);
    else throw new NotJsonError();
  }

  function close(container: Container, token: TokenType): void {
    const isListEnd = token === TokenType.RIGHT_BRACKET;
    if (container.isList !== isListEnd) throw new NotJsonError();
    containers.pop();
    finish(container.value);
  }

  function takeItem(
    container: Container,
    token: TokenType,
    value: unknown,
  ): void {
    if (container.isList) {
      takeValue(token, value);
      return;
    }
    if (token !== TokenType.STRING) throw new NotJsonError();
    container.key = value as string;
    container.expected = Expected.Colon;
  }

  function takeInside(
    container: Container,
    token: TokenType,
    value: unknown,
  ): void {
    switch (container.expected) {
      case Expected.FirstOrEnd:
        if (isClosing(token)) close(container, token);
        else takeItem(container, token, value);
        return;
      case Expected.Next:
        takeItem(container, token, value);
        return;
      case Expected.Colon:
        if (token !== TokenType.COLON) throw new NotJsonError();
        container.expected = Expected.Value;
        return;
      case Expected.Value:
        takeValue(token, value);
        return;
      case Expected.CommaOrEnd:
        if (isClosing(token)) close(container, token);
        else if (token !== TokenType.COMMA) throw new NotJsonError();
        else container.expected = Expected.Next;
        return;
    }
  }

  function passOver(token: TokenType): void {
    if (isOpening(token)) {
      passedOver++;
      noteNesting();
    } else if (isClosing(token)) {
      passedOver--;
      if (passedOver === 0) finish(OTHER_TYPE);
    }
  }

  function takeToken(token: TokenType, value: unknown): void {
    const container = containers.at(-1);
    if (passedOver > 0) passOver(token);
    else if (container) takeInside(container, token, value);
    else if (isComplete) throw new NotJsonError();
    else takeValue(token, value);
  }

  const tokenizer = new Tokenizer({stringBufferSize: TEXT_BUFFER_BYTES});
  tokenizer.onToken = ({token, value}) => takeToken(token, value);
  // Errors are those of `write`, which throws without a listener.
  const text = new TextDecoder();

  /** Does nothing more after a failure. */
  function attempt(step: () => void): void {
    if (hasFailed) return;
    try {
      step();
    } catch {
      hasFailed = true;
    }
  }

  function write(piece: string): void {
    if (piece !== '') attempt(() => tokenizer.write(piece));
  }

  return {
    push: bytes => write(text.decode(bytes, {stream: true})),
    end() {
      write(text.decode());
      // A number at the end is complete only now.
      attempt(() => tokenizer.end());
      return hasFailed || !isComplete ? undefined : result;
    },
  };
}
