/** Public exports of `@quetzalreel/freshness`. */
export {type TrustedSamples, trustedSamples} from './trusted-samples.js';
export {
  type Sample,
  type Samples,
  ageOfNewest,
  newestOf,
  noSamples,
  requiredPosition,
  withSample,
} from './samples.js';
export {
  type SuspensionDetector,
  suspensionDetector,
} from './suspension-detector.js';
