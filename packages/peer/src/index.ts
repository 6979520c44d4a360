/** Public exports of `@quetzalreel/peer`. */
export {
  type FrameDecoder,
  PEER_VERSION,
  PeerFrameError,
  encodeFrame,
  frameDecoder,
} from './codec.js';
