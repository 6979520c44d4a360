/** Public exports of `@quetzalreel/checks`. */
export {type KnownFailure, parseKnownFailures} from './known-red.js';
