/** Public exports of `@quetzalreel/freshness`. */
export {type SampleBook, sampleBook} from './sample-book.js';
export {
  type Sample,
  type Samples,
  ageOfNewest,
  newestOf,
  noSamples,
  requiredPosition,
  withSample,
} from './samples.js';
export {type SleepGuard, sleepGuard} from './sleep-guard.js';
