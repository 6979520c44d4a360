/** Public exports of `@quetzalreel/statement`. */
export {
  type Statement,
  StatementClass,
  classify,
  readComment,
  splitStatements,
} from './classify.js';
