/** Public exports of `@quetzalreel/ctl`. */
export {
  type Command,
  type Edit,
  type Topic,
  formatEdit,
  parseCommand,
} from './command.js';
export {difference} from './difference.js';
export {
  type ChangeMetadata,
  EMPTY_CONFIGURATION,
  nextConfiguration,
} from './edit.js';
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
export {formatExplanation, formatInstance} from './explain-text.js';
export {readKeyDigest} from './key-digest.js';
export {
  type StoredConfiguration,
  type SubmitContext,
  readStored,
  submit,
} from './submit.js';
export {
  type InstanceState,
  type InstanceClient,
  type InstanceClientOptions,
  type MemberResult,
  createInstanceClient,
} from './instances.js';
export {type OutputFormat, formatRows} from './output.js';
export {type RunContext, runCommand} from './run-command.js';
export {type Row, type ShowSources, historyRows, rowsOf} from './show.js';
