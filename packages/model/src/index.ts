/** Public exports of `@quetzalreel/model`. */
export {
  type Exploration,
  type Violation,
  explore,
  replay,
  walk,
} from './explore.js';
export {OMISSIONS, type OmissionCase} from './omissions.js';
export {type Bounds, INVARIANTS, Omission, type State} from './spec.js';
