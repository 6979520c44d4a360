/**
 * Splits PostgreSQL's SQL into tokens, statements and comments.
 *
 * Follows PostgreSQL's lexical rules for literals, quoted identifiers, dollar
 * quotes and nested comments. The scan is marked as ambiguous where these rules
 * depend on a setting or the version of the server, and when the SQL ends inside
 * a token.
 */

/** Type of a token. */
export const TokenType = {
  /** A keyword or an unquoted identifier; its text is in upper case. */
  Word: 'word',
  /** An identifier in double quotes; its text excludes the quotes. */
  Quoted: 'quoted',
  /** A string literal; its text is the unescaped value. */
  String: 'string',
  /**
   * A number or a single punctuation character. A parameter such as `$1` is two
   * of these tokens.
   */
  Symbol: 'symbol',
} as const;

/** One of the values of `TokenType`. */
export type TokenType = (typeof TokenType)[keyof typeof TokenType];

/** One token of a statement. */
export interface Token {
  readonly type: TokenType;
  readonly text: string;
}

/** One statement of the scanned SQL. */
export interface ScannedStatement {
  /** Tokens of the statement; never empty. */
  readonly tokens: readonly Token[];
  /** SQL of the statement, with its comments. */
  readonly sql: string;
}

/** Result of scanning SQL. */
export interface Scan {
  readonly statements: readonly ScannedStatement[];
  /** Contents of the block comments. */
  readonly comments: readonly string[];
  /** False when a server might split the SQL into other tokens. */
  readonly isUnambiguous: boolean;
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

const FIRST_NON_ASCII_CODE = 0x80;
const NAME_START = 1;
const NAME_PART = 2;
const SPACE = 4;
const DIGIT = 8;

/** Class flags of each ASCII character. Any other may be part of a name. */
const ASCII_CLASSES = new Uint8Array(FIRST_NON_ASCII_CODE);
for (let code = 0; code < FIRST_NON_ASCII_CODE; code++) {
  const char = String.fromCharCode(code);
  if (/[A-Za-z_]/.test(char)) ASCII_CLASSES[code] = NAME_START | NAME_PART;
  else if (/[0-9]/.test(char)) ASCII_CLASSES[code] = DIGIT | NAME_PART;
  else if (char === '$') ASCII_CLASSES[code] = NAME_PART;
  else if (/[\t-\r ]/.test(char)) ASCII_CLASSES[code] = SPACE;
}

function classOf(code: number): number {
  return code < FIRST_NON_ASCII_CODE
    ? ASCII_CLASSES[code]!
    : NAME_START | NAME_PART;
}

function matchAt(pattern: RegExp, sql: string, at: number): string | undefined {
  pattern.lastIndex = at;
  return pattern.exec(sql)?.[0];
}

/** Scans SQL that may hold several statements. */
export function scan(sql: string): Scan {
  const statements: ScannedStatement[] = [];
  const comments: string[] = [];
  let tokens: Token[] = [];
  let isUnambiguous = true;
  let start = 0;
  let at = 0;

  function finishStatement(): void {
    const text = sql.slice(start, at).trim();
    if (tokens.length > 0) statements.push({tokens, sql: text});
    tokens = [];
  }

  /** Ends the scan because the SQL ends inside a token. */
  function endInsideToken(): void {
    isUnambiguous = false;
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
    endInsideToken();
  }

  /** Reads up to the closing quote and returns the text with quotes unescaped. */
  function quoted(quote: string): string | undefined {
    const begin = at + 1;
    let end = begin;
    for (;;) {
      end = sql.indexOf(quote, end);
      if (end < 0) {
        endInsideToken();
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
    // With standard_conforming_strings off, the quote after the backslash would
    // not end the literal.
    if (sql.slice(begin, at).includes("\\'")) isUnambiguous = false;
    tokens.push({type: TokenType.String, text});
  }

  /** Reads a literal with backslash escapes; starts at its opening quote. */
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
      endInsideToken();
      return;
    }
    const body = sql.slice(begin, at++);
    // PostgreSQL joins a literal with the next one after a line break, and
    // escapes apply there too. This scanner doesn't join them.
    if (matchAt(CONTINUED_LITERAL, sql, at)) isUnambiguous = false;
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
      endInsideToken();
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

  /** Reads a number. PostgreSQL versions differ on letters that follow one. */
  function number(): void {
    const begin = at;
    while (at < sql.length) {
      const code = sql.charCodeAt(at);
      const isNumberPart = classOf(code) & NAME_PART && code !== Code.Dollar;
      if (!isNumberPart && code !== Code.Dot) break;
      at++;
    }
    const text = sql.slice(begin, at);
    const next = sql[at];
    if (next === '$' || next === "'" || next === '"') isUnambiguous = false;
    tokens.push({type: TokenType.Symbol, text});
  }

  function word(): void {
    const begin = at;
    while (at < sql.length && classOf(sql.charCodeAt(at)) & NAME_PART) at++;
    const text = sql.slice(begin, at);
    const isLiteral = sql.charCodeAt(at) === Code.SingleQuote;
    if (isLiteral && (text === 'E' || text === 'e')) {
      escapedLiteral();
      return;
    }
    // In U&"...", Unicode escapes may spell any identifier.
    const isUnicodePrefix = text === 'U' || text === 'u';
    if (isUnicodePrefix && sql.startsWith('&"', at)) isUnambiguous = false;
    tokens.push({type: TokenType.Word, text: text.toUpperCase()});
  }

  while (at < sql.length) {
    const code = sql.charCodeAt(at);
    const charClass = classOf(code);
    if (charClass & SPACE) at++;
    else if (charClass & NAME_START) word();
    else if (charClass & DIGIT) number();
    else if (code === Code.SingleQuote) plainLiteral();
    else if (code === Code.DoubleQuote) quotedName();
    else if (code === Code.Dollar) dollarQuote();
    else if (code === Code.Semicolon) {
      finishStatement();
      start = ++at;
    } else if (code === Code.Minus && sql.charCodeAt(at + 1) === Code.Minus) {
      lineComment();
    } else if (code === Code.Slash && sql.charCodeAt(at + 1) === Code.Star) {
      blockComment();
    } else symbol();
  }
  finishStatement();
  return {statements, comments, isUnambiguous: isUnambiguous};
}
