/** Public exports of `@quetzalreel/endpoint`. */
export {
  type ResponseSink,
  type Attempt,
  EndpointConnection,
  EndpointControl,
  EndpointDownError,
  EndpointDriver,
  type EndpointStatus,
  FencedError,
  Role,
  type UpstreamAddress,
} from './endpoint.js';
export type {EndpointAddress} from './pg-connect.js';
export {COMMIT_POSITION_PARAMETER} from './pg-connection.js';
export type {ControlLimits} from './pg-control.js';
export {pgDriver} from './pg-driver.js';
