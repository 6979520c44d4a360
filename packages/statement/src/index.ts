/** Public exports of `@quetzalreel/statement`. */
export {
  type SessionCommand,
  type Statement,
  StatementClass,
  classify,
  splitStatements,
} from './classify.js';
export {type CommentTags, readTags} from './comment.js';
export {type Scan, type Token, TokenType, scan} from './tokenizer.js';
