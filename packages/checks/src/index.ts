/** Public exports of `@quetzalreel/checks`. */
export {type KnownFailure, parseKnownFailures} from './known-red.js';
export {
  anyBytes,
  inChunks,
  mutated,
  mutatedBytes,
  oddValue,
  oddWord,
} from './arbitrary.js';
