import type {RequestClass} from '@primrosestage/common';
import type {Service} from '@primrosestage/steering';

/** Holds what is known of a request on its way through one instance. */
export interface RequestContext {
  requestId: string;
  service: Service;
  requestClass: RequestClass;
  /** Path and query for the backend server. */
  path: string;
  /** End of the request's time on the monotonic clock, in milliseconds. */
  deadlineAt: number;
  hops: number;
  sourceRegion: string;
  sourceZone: string;
  traceParent?: string;
}
