export {
  type HeartbeatPayload,
  HEARTBEAT_PAYLOAD_SCHEMA,
} from './heartbeat_payload.js';
export {
  PeerHeartbeats as PeerHeartbeats,
  type PeerHeartbeatsOptions as PeerHeartbeatsOptions,
} from './peer_heartbeats.js';
