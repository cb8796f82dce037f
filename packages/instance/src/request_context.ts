import type {IncomingHttpHeaders} from 'node:http';
import type {RequestClass} from '@primrosestage/common';
import type {Service} from '@primrosestage/steering';

/** Holds what is known of a request on its way through one instance. */
export interface RequestContext {
  requestId: string;
  service: Service;
  requestClass: RequestClass;
  method: string;
  /** Path and query as received. */
  url: string;
  /** Path and query for the backend server. */
  path: string;
  headers: IncomingHttpHeaders;
  /** End of the request's time on the monotonic clock, in milliseconds. */
  deadlineAt: number;
  hops: number;
  sourceRegion: string;
  sourceZone: string;
  traceParent?: string;
  idempotencyKey?: string;
  /** Whether the caller says that it sends the request for the first time. */
  isFirstAttempt: boolean;
}
