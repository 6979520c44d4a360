/** Public exports of `@quetzalreel/checks`. */
export {type KnownRed, parseKnownRed} from './known-red.js';
