export {
  type HeartbeatPayload,
  HEARTBEAT_PAYLOAD_SCHEMA,
} from './heartbeat_payload.js';
export {PeerHeartbeats, type PeerHeartbeatsOptions} from './peer_heartbeats.js';
