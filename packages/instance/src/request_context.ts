import type {IncomingHttpHeaders} from 'node:http';
import type {RequestClass} from '@primrosestage/common';
import type {Service} from '@primrosestage/steering';

/** Holds the data of a request while one instance processes it. */
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
  /** Deadline of the request in milliseconds on the monotonic clock. */
  deadlineAt: number;
  hops: number;
  sourceRegion: string;
  sourceZone: string;
  traceParent?: string;
  idempotencyKey?: string;
  /** Whether the caller marked the request as its first attempt. */
  isFirstAttempt: boolean;
}
