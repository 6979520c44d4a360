/** Public exports of `@quetzalreel/ctl`. */
export {
  type Command,
  type Edit,
  type Topic,
  formatEdit,
  parseCommand,
} from './command.js';
export {difference} from './difference.js';
export {type ChangeNote, NOTHING, nextConfiguration} from './edit.js';
export {
  ChangeUnknownError,
  CommandError,
  CtlError,
  ExitCode,
  InstanceError,
  NotInForceError,
  OrderError,
  RaceLostError,
  StoreDownError,
} from './errors.js';
export {type Stored, type SubmitContext, readStored, submit} from './submit.js';
export {
  type InstanceState,
  type Instances,
  type InstancesOptions,
  type Member,
  instances,
} from './instances.js';
export {type OutputFormat, formatRows} from './output.js';
export {type RunContext, runCommand} from './run-command.js';
export {type Row, type ShowSources, historyRows, rowsOf} from './show.js';
