/**
 * Splits PostgreSQL's SQL into tokens, statements and comments.
 *
 * Follows the lexical rules of PostgreSQL for literals, quoted names, dollar
 * quotes and nested comments. Where the rules depend on a setting or a version
 * of the server the scan is marked as not certain, and so is a text that ends
 * inside a token.
 */

/** What a token is. */
export const TokenType = {
  /** A keyword or a name without quotes; its text is in upper case. */
  Word: 'word',
  /** A name in double quotes; its text is what stands between them. */
  Quoted: 'quoted',
  /** A string literal; its text is its value. */
  String: 'string',
  /** A number, a parameter, or one letter of punctuation. */
  Symbol: 'symbol',
} as const;

/** One of the values of `TokenType`. */
export type TokenType = (typeof TokenType)[keyof typeof TokenType];

/** One token of a statement. */
export interface Token {
  readonly type: TokenType;
  readonly text: string;
}

/** One statement of a text. */
export interface ScannedStatement {
  /** Never empty. */
  readonly tokens: readonly Token[];
  /** Its part of the text, with its comments. */
  readonly sql: string;
}

/** What a text consists of. */
export interface Scan {
  readonly statements: readonly ScannedStatement[];
  /** Bodies of the comments between slash and star. */
  readonly comments: readonly string[];
  /** False when a server might split the text in another way. */
  readonly certain: boolean;
}

const DOLLAR_QUOTE =
  /\$(?:[A-Za-z_\u0080-\uffff][A-Za-z0-9_\u0080-\uffff]*)?\$/y;
const CONTINUED_LITERAL = /(?:\s|--[^\n\r]*)*'/y;
const LINE_END = /[\n\r]|$/g;
const ESCAPED = /\\([^])/g;

const Code = {
  DoubleQuote: 0x22,
  Dollar: 0x24,
  SingleQuote: 0x27,
  Star: 0x2a,
  Minus: 0x2d,
  Dot: 0x2e,
  Slash: 0x2f,
  Semicolon: 0x3b,
  Backslash: 0x5c,
} as const;

const FIRST_WIDE_CODE = 0x80;
const START = 1;
const PART = 2;
const SPACE = 4;
const DIGIT = 8;

/** What each ASCII letter may be; all wider letters may be in names. */
const KIND_OF_CODE = new Uint8Array(FIRST_WIDE_CODE);
for (let code = 0; code < FIRST_WIDE_CODE; code++) {
  const letter = String.fromCharCode(code);
  if (/[A-Za-z_]/.test(letter)) KIND_OF_CODE[code] = START | PART;
  else if (/[0-9]/.test(letter)) KIND_OF_CODE[code] = DIGIT | PART;
  else if (letter === '$') KIND_OF_CODE[code] = PART;
  else if (/[\t-\r ]/.test(letter)) KIND_OF_CODE[code] = SPACE;
}

function kindOf(code: number): number {
  return code < FIRST_WIDE_CODE ? KIND_OF_CODE[code]! : START | PART;
}

function matchAt(pattern: RegExp, sql: string, at: number): string | undefined {
  pattern.lastIndex = at;
  return pattern.exec(sql)?.[0];
}

/** Scans a text. */
export function scan(sql: string): Scan {
  const statements: ScannedStatement[] = [];
  const comments: string[] = [];
  let tokens: Token[] = [];
  let certain = true;
  let start = 0;
  let at = 0;

  function finish(): void {
    const text = sql.slice(start, at).trim();
    if (tokens.length > 0) statements.push({tokens, sql: text});
    tokens = [];
  }

  /** Ends the scan: the text ends inside a token. */
  function cutShort(): void {
    certain = false;
    at = sql.length;
  }

  function lineComment(): void {
    LINE_END.lastIndex = at;
    at = LINE_END.exec(sql)!.index;
  }

  function blockComment(): void {
    const begin = at + 2;
    let depth = 1;
    at = begin;
    while (at < sql.length) {
      const code = sql.charCodeAt(at);
      const next = sql.charCodeAt(at + 1);
      if (code === Code.Star && next === Code.Slash) {
        at += 2;
        if (--depth > 0) continue;
        comments.push(sql.slice(begin, at - 2));
        return;
      }
      const opens = code === Code.Slash && next === Code.Star;
      if (opens) depth++;
      at += opens ? 2 : 1;
    }
    cutShort();
  }

  /** Text up to the closing quote, doubled quotes made single. */
  function quoted(quote: string): string | undefined {
    const begin = at + 1;
    let end = begin;
    for (;;) {
      end = sql.indexOf(quote, end);
      if (end < 0) {
        cutShort();
        return undefined;
      }
      if (sql[end + 1] !== quote) break;
      end += 2;
    }
    at = end + 1;
    const body = sql.slice(begin, end);
    return body.includes(quote) ? body.replaceAll(quote + quote, quote) : body;
  }

  function plainLiteral(): void {
    const begin = at;
    const text = quoted("'");
    if (text === undefined) return;
    // With standard_conforming_strings off, this quote would not close it.
    if (sql.slice(begin, at).includes("\\'")) certain = false;
    tokens.push({type: TokenType.String, text});
  }

  /** A literal with backslash escapes; `at` is at its quote. */
  function escapedLiteral(): void {
    const begin = at + 1;
    for (at = begin; at < sql.length; at++) {
      const code = sql.charCodeAt(at);
      if (code === Code.Backslash) at++;
      if (code !== Code.SingleQuote) continue;
      if (sql.charCodeAt(at + 1) !== Code.SingleQuote) break;
      at++;
    }
    if (at >= sql.length) {
      cutShort();
      return;
    }
    const body = sql.slice(begin, at++);
    // A literal may go on after a line's end, still with escapes.
    if (matchAt(CONTINUED_LITERAL, sql, at)) certain = false;
    const text = body.replace(ESCAPED, '$1').replaceAll("''", "'");
    tokens.push({type: TokenType.String, text});
  }

  function dollarQuote(): void {
    const tag = matchAt(DOLLAR_QUOTE, sql, at);
    if (!tag) {
      symbol();
      return;
    }
    const begin = at + tag.length;
    const end = sql.indexOf(tag, begin);
    if (end < 0) {
      cutShort();
      return;
    }
    at = end + tag.length;
    tokens.push({type: TokenType.String, text: sql.slice(begin, end)});
  }

  function quotedName(): void {
    const text = quoted('"');
    if (text !== undefined) tokens.push({type: TokenType.Quoted, text});
  }

  function symbol(): void {
    tokens.push({type: TokenType.Symbol, text: sql[at++]!});
  }

  /** Versions differ in where a number ends that letters follow. */
  function number(): void {
    const begin = at;
    while (at < sql.length) {
      const code = sql.charCodeAt(at);
      const goesOn = kindOf(code) & PART && code !== Code.Dollar;
      if (!goesOn && code !== Code.Dot) break;
      at++;
    }
    const text = sql.slice(begin, at);
    const next = sql[at];
    if (next === '$' || next === "'" || next === '"') certain = false;
    tokens.push({type: TokenType.Symbol, text});
  }

  function word(): void {
    const begin = at;
    while (at < sql.length && kindOf(sql.charCodeAt(at)) & PART) at++;
    const text = sql.slice(begin, at);
    const isLiteral = sql.charCodeAt(at) === Code.SingleQuote;
    if (isLiteral && (text === 'E' || text === 'e')) {
      escapedLiteral();
      return;
    }
    // A name with escapes of its own may stand for any name.
    const isU = text === 'U' || text === 'u';
    if (isU && sql.startsWith('&"', at)) certain = false;
    tokens.push({type: TokenType.Word, text: text.toUpperCase()});
  }

  while (at < sql.length) {
    const code = sql.charCodeAt(at);
    const kind = kindOf(code);
    if (kind & SPACE) at++;
    else if (kind & START) word();
    else if (kind & DIGIT) number();
    else if (code === Code.SingleQuote) plainLiteral();
    else if (code === Code.DoubleQuote) quotedName();
    else if (code === Code.Dollar) dollarQuote();
    else if (code === Code.Semicolon) {
      finish();
      start = ++at;
    } else if (code === Code.Minus && sql.charCodeAt(at + 1) === Code.Minus) {
      lineComment();
    } else if (code === Code.Slash && sql.charCodeAt(at + 1) === Code.Star) {
      blockComment();
    } else symbol();
  }
  finish();
  return {statements, comments, certain};
}
