/** Public exports of `@quetzalreel/position`. */
export {
  ORIGIN,
  type Position,
  comparePositions,
  formatPosition,
  laterOf,
  majorityOf,
  parsePosition,
  reaches,
} from './position.js';
export {type Floors, type TokenCodec, TokenError, tokenCodec} from './token.js';
