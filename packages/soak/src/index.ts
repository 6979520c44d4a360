/** Public exports of `@quetzalreel/soak`. */
export {
  type Counts,
  type RunVerdict,
  NO_COUNTS,
  checkRun,
  checkExecutions,
} from './run-verdict.js';
export {KEPT_SEEDS, type KeptSeed} from './kept-seeds.js';
export {
  type LinkFaults,
  type Loopback,
  NO_FAULTS,
  startLoopback,
} from './loopback.js';
export {type Records, type SentStatement, noRecords} from './records.js';
export {type RunOptions, type RunResult, playRun} from './run.js';
export {type Fault, FaultKind, scheduleOf} from './schedule.js';
