/** Public exports of `@quetzalreel/bench`. */
export {type CallerOptions, type CallerRecords, runCaller} from './caller.js';
export {
  type Fleet,
  type FleetEndpoint,
  type FleetProxy,
  type FleetSizes,
  startFleet,
} from './fleet.js';
export {
  type History,
  type ReadRecord,
  type Verdict,
  type WriteRecord,
  checkHistory,
  isClean,
} from './history.js';
