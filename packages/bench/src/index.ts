/** Public exports of `@quetzalreel/bench`. */
export {
  type SharedGroupLoad,
  type CallerOptions,
  type CallerRecords,
  ReadPolicy,
  runCaller,
} from './caller.js';
export {type RunFigures, type RunOptions, runExperiment} from './experiment.js';
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
  valueOf,
} from './history.js';
export {ARCHIVE, ENTRIES, WORKLOADS, type Workload} from './workloads.js';
