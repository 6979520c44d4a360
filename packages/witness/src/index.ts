/** Public exports of `@quetzalreel/witness`. */
export {type WitnessMessage, isWitnessMessage} from './messages.js';
export {
  INSTANCE_KIND,
  type RosterEntry,
  enrol,
  readRoster,
  readRosterEntry,
} from './roster.js';
export {type Answers, Verdict, verdictOf} from './verdict.js';
export {
  type ConfirmedPosition,
  type Finding,
  type WitnessContext,
  type WitnessSource,
  type Witnesses,
  witnesses,
} from './witnesses.js';
