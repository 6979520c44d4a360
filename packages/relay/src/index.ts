/** Public exports of `@quetzalreel/relay`. */
export type {
  EndpointObservation,
  OpenAndRunRequest,
  RelayRequest,
  RelayTarget,
} from './messages.js';
export {
  type KeepForRequester,
  type Relay,
  type RelayOptions,
  type ServedConnection,
  startRelay,
} from './relay.js';
export {
  type RelayAddress,
  RelayDriver,
  RelayLostError,
  RelayedConnection,
  connectViaRelay,
  tcpRelayDriver,
} from './relayed-connection.js';
