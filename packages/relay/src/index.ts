/** Public exports of `@quetzalreel/relay`. */
export type {EndpointObservation, RelayTarget} from './messages.js';
export {
  type Relay,
  type RelayOptions,
  type ServedConnection,
  startRelay,
} from './relay.js';
export {
  type RelayAddress,
  RelayLostError,
  RelayedConnection,
  connectViaRelay,
} from './relayed-connection.js';
