import type {CallerLimits} from '../route.js';
import {checkNumber} from './check_number.js';
import {FindingCode} from './configuration_finding.js';
import type {FindingList} from './finding_list.js';
import {formatFieldValue} from './format_field_value.js';

/** Sizes of requests that an instance can take at all. */
export interface RequestCapacity {
  /** Largest header that the server for callers reads, in bytes. */
  maxHeaderBytes: number;
  /** Largest body for which there is memory, in bytes. */
  maxBodyBytes: number;
}

/**
 * Capacity of an instance on a machine of 350 MB or more: `MAX_HEADER_BYTES` of its server, and the
 * memory for bodies (128 MiB) without the part that is reserved for small ones (16 MiB).
 */
export const DEFAULT_REQUEST_CAPACITY: RequestCapacity = {
  maxHeaderBytes: 64 * 1024,
  maxBodyBytes: 112 * 1024 * 1024,
};

/**
 * Reports limits on callers that are invalid or above what an instance can take.
 * @param list - Receives the findings.
 * @param limits - The limits.
 * @param capacity - What an instance can take.
 */
export function checkLimits(
  list: FindingList,
  limits: CallerLimits,
  capacity: RequestCapacity,
): void {
  const {maxHeaderBytes, maxBodyBytes} = limits;
  for (const [field, value] of Object.entries(limits) as [string, number][]) {
    checkNumber(list, {table: 'limits', field}, value);
  }
  if (maxHeaderBytes > capacity.maxHeaderBytes) {
    list.addWarning(
      FindingCode.HeaderAboveServer,
      {table: 'limits', field: 'maxHeaderBytes'},
      formatFieldValue('maxHeaderBytes', maxHeaderBytes),
      `at most ${capacity.maxHeaderBytes} bytes, which the server accepts`,
    );
  }
  if (maxBodyBytes > capacity.maxBodyBytes) {
    list.addWarning(
      FindingCode.BodyAboveMemory,
      {table: 'limits', field: 'maxBodyBytes'},
      formatFieldValue('maxBodyBytes', maxBodyBytes),
      `at most ${capacity.maxBodyBytes} bytes, for which there is memory`,
    );
  }
}
