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
