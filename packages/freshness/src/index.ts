/** Public exports of `@quetzalreel/freshness`. */
export {
  type Sample,
  type Samples,
  ageOfNewest,
  noSamples,
  requiredPosition,
  withSample,
} from './samples.js';
export {type SleepGuard, sleepGuard} from './sleep-guard.js';
