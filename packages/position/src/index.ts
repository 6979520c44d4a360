/** Public exports of `@quetzalreel/position`. */
export {
  EMPTY_LOG_POSITION,
  type Position,
  comparePositions,
  formatPosition,
  laterOf,
  majorityOf,
  parsePosition,
  isAtLeast,
  isPosition,
} from './position.js';
export {
  type SessionFloors,
  type TokenCodec,
  TokenError,
  tokenCodec,
} from './token.js';
