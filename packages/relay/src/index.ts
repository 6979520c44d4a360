/** Public exports of `@quetzalreel/relay`. */
export {
  type Relay,
  type RelayOptions,
  type RelayedSocket,
  type Target,
  dialThrough,
  startRelay,
} from './relay.js';
