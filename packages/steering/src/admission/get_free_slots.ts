import type {
  AdmissionEndpoint,
  AdmissionRules,
  AdmissionState,
} from './admission_state.js';
import {isSelectable} from './endpoint_health.js';
import {getSlowStartLimit} from './get_slow_start_limit.js';

/**
 * Gets the free slots of one endpoint.
 * @param endpoint - The endpoint.
 * @param now - Monotonic time in milliseconds.
 * @param rules - Rules in force.
 * @returns The free slots; 0 if the endpoint drains, fails, or belongs to another owner.
 */
export function getFreeSlots(
  endpoint: AdmissionEndpoint,
  now: number,
  rules: AdmissionRules,
): number {
  if (!isSelectable(endpoint.health)) return 0;
  const limit = getSlowStartLimit(
    rules.getLimit(endpoint.id),
    endpoint.health.slowStartSince,
    now,
    rules.slowStartMs,
  );
  return Math.max(0, limit - endpoint.inFlight);
}

/**
 * Gets the free slots of a service.
 * @param state - The service's admission state.
 * @param now - Monotonic time in milliseconds.
 * @param rules - Rules in force.
 */
export function getServiceFreeSlots(
  state: AdmissionState,
  now: number,
  rules: AdmissionRules,
): number {
  return state.endpoints.reduce(
    (sum, endpoint) => sum + getFreeSlots(endpoint, now, rules),
    0,
  );
}

/**
 * Gets the slots that this owner holds for a service, free or occupied.
 * @param state - The service's admission state.
 * @param rules - Rules in force.
 * @returns The sum of the limits of the endpoints that neither drain nor fail.
 */
export function getOwnedSlots(
  state: AdmissionState,
  rules: AdmissionRules,
): number {
  return state.endpoints
    .filter(({health}) => isSelectable(health))
    .reduce((sum, {id}) => sum + Math.max(0, rules.getLimit(id)), 0);
}
