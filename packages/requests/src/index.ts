/** Public exports of `@quetzalreel/requests`. */
export {
  type Answer,
  type AnswerError,
  ErrorCode,
  type PaceReport,
  ROW_BYTES,
  SessionState,
  didNotRun,
  sizeOfRows,
  localAnswer,
  localError,
  tooLongAnswer,
} from './answer.js';
export {
  type AnswerMemory,
  type AnswerMemoryLimits,
  type AnswerSource,
  type GatheredAnswer,
  answerMemory,
} from './answer-memory.js';
export {
  CallerLimit,
  type ConnectionLimits,
  type OnLimit,
  type SessionLimits,
} from './caller-limits.js';
export {
  type CallerMemory,
  type CallerMemoryLimits,
  type CallerShare,
  ENTRY_BYTES,
  KeptKind,
  callerMemory,
  unlimitedCallerMemory,
} from './caller-memory.js';
export {
  type AcceptCaller,
  CallerConnection,
  type CallerHandler,
  CallerListener,
} from './caller.js';
export {
  ConnectionLostError,
  ConnectionRefusedError,
  type EndpointAddress,
  EndpointConnection,
  EndpointDriver,
  type EndpointRequest,
  type BeginRequest,
  type EndpointStatus,
  type RequestOrigin,
  type StatementRequest,
} from './endpoint.js';
export {type ReadTurns, readTurns} from './read-turns.js';
export {
  Access,
  type CallerRequest,
  type SessionStart,
  type Statement,
} from './request.js';
