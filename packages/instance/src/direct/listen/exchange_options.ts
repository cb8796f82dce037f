import type {ControlView} from '@primrosestage/steering';
import type {QuotaGate} from '../limits/quota_gate.js';
import type {BodyBuffers} from './body_buffers.js';
import type {BodySegments} from './body_segments.js';
import type {RequestLog} from './request_log.js';
import type {RequestStartQueue} from './request_start_queue.js';
import type {SenderOptions} from '../send/sender_options.js';

/** Dependencies of handling a request. */
export interface RequestExchangeOptions extends SenderOptions {
  view: ControlView;
  /** Memory for the bodies of all requests. */
  bodyBuffers: BodyBuffers;
  /** Lends the buffers of bodies of unknown length. */
  bodySegments: BodySegments;
  /** Delays the start of requests until closed connections of callers have been detected. */
  startQueue: RequestStartQueue;
  /** Keeps the requests of accounts within their quotas. */
  quotas: QuotaGate;
  log: RequestLog;
  /** Returns a random number in [0, 1). */
  random: () => number;
}
