/** Public exports of `@quetzalreel/wire`. */
export {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  EMPTY_QUERY,
  type ErrorFields,
  NO_DATA,
  PARSE_COMPLETE,
  TransactionStatus,
  backendKeyData,
  commandComplete,
  dataRow,
  errorResponse,
  message,
  parameterDescription,
  parameterStatus,
  readError,
  readParameter,
  readStatus,
  readyForQuery,
  rowDescription,
} from './backend.js';
export {
  FRAME_HEADER_BYTES,
  type Frame,
  FrameError,
  type FrameSplitter,
  frameBody,
  frameSplitter,
} from './frames.js';
export {
  type BindMessage,
  type ParseMessage,
  TERMINATE,
  type TargetMessage,
  closeStatement,
  parse,
  query,
  readBind,
  readParse,
  readQuery,
  readTarget,
} from './frontend.js';
export {SqlState} from './sqlstate.js';
