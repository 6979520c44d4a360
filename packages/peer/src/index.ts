/** Public exports of `@quetzalreel/peer`. */
export {
  type FrameDecoder,
  PEER_VERSION,
  PeerFrameError,
  encodeCompressedFrame,
  encodeFrame,
  frameDecoder,
} from './codec.js';
export {
  type LinkLimits,
  type PeerTls,
  type TcpTransportOptions,
  tcpTransport,
} from './tcp-transport.js';
export {type PeerTraffic, PeerTransport} from './transport.js';
