export {
  type HeartbeatPayload,
  HEARTBEAT_PAYLOAD_SCHEMA,
} from './heartbeat_payload.js';
export {PeerBook, type PeerBookOptions} from './peer_book.js';
