import {Priority} from '@primrosestage/common';
import type {AdmissionRequest} from './admission_state.js';
import {RequestOrigin} from './request_origin.js';

const PRIORITY_RANK = {
  [Priority.Urgent]: 0,
  [Priority.Normal]: 1,
  [Priority.Bulk]: 2,
};

const ORIGIN_RANK = {
  [RequestOrigin.SameZone]: 0,
  [RequestOrigin.SameRegion]: 1,
  [RequestOrigin.OtherRegion]: 2,
};

/**
 * Compares two waiting requests by priority, then by origin.
 * @param a - One request.
 * @param b - The other request.
 * @returns Less than 0 if `a` is served first, 0 if the order of arrival decides.
 */
export function compareRequests(
  a: AdmissionRequest,
  b: AdmissionRequest,
): number {
  return (
    PRIORITY_RANK[a.priority] - PRIORITY_RANK[b.priority] ||
    ORIGIN_RANK[a.origin] - ORIGIN_RANK[b.origin]
  );
}
