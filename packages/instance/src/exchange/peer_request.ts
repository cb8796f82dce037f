import type http from 'node:http';
import type {RequestBody} from '../http/index.js';

/** Describes a request to a peer; times are monotonic milliseconds. */
export interface PeerRequest {
  method: string;
  path: string;
  headers: http.OutgoingHttpHeaders;
  /** Request id to which an id in the answer must be equal; undefined for probes. */
  requestId?: string;
  body: RequestBody;
  deadlineAt: number;
  /** Whether idle connections that the peer may have closed must not be used. */
  needsFreshConnection: boolean;
  signal: AbortSignal;
}
