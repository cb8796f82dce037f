import {Priority} from '@primrosestage/common';
import {
  AdmissionEventKind,
  type AdmissionDecision,
  type AdmissionEndpoint,
  type AdmissionEvent,
  type AdmissionRequest,
  type AdmissionResult,
  type AdmissionRules,
  type AdmissionState,
} from './admission_state.js';
import {compareRequests} from './compare_requests.js';
import {INITIAL_HEALTH} from './endpoint_health.js';
import {
  getFreeSlots,
  getOwnedSlots,
  getServiceFreeSlots,
} from './get_free_slots.js';
import {RefusalReason} from './refusal_reason.js';
import {RequestOrigin} from './request_origin.js';

/** Maximum number of waiting requests per owned slot. */
const MAX_WAITING_PER_SLOT = 4;
/** Length of the window in which the shortest wait is measured, in milliseconds. */
const QUEUE_WINDOW_MS = 100;
/** Shortest wait in milliseconds above which a queue is a standing queue rather than a burst. */
const STANDING_WAIT_MS = 20;

/**
 * Creates the admission state of a service.
 * @param endpointIds - Ids of all endpoints that this instance may own.
 * @param now - Monotonic time in milliseconds.
 */
export function createAdmissionState(
  endpointIds: readonly string[],
  now: number,
): AdmissionState {
  return {
    endpoints: endpointIds.map(id => ({
      id,
      inFlight: 0,
      lastAdmittedAt: -Infinity,
      health: INITIAL_HEALTH,
    })),
    waiting: [],
    isLifo: false,
    windowStartedAt: now,
    windowMinWaitMs: Infinity,
  };
}

/**
 * Applies an event to the admission state of a service and decides on its waiting requests.
 * @param state - The state so far.
 * @param event - The event.
 * @param now - Monotonic time in milliseconds.
 * @param rules - Rules in force, with the endpoint limits that the ownership sets.
 * @returns The new state and the requests that were admitted or refused.
 */
export function reduceAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  now: number,
  rules: AdmissionRules,
): AdmissionResult {
  const decisions: AdmissionDecision[] = [];
  let next = applyEvent(state, event);
  next = refuseExpired(next, now, rules, decisions);
  next = admitWaiting(next, now, rules, decisions);
  next = refuseExcess(next, now, rules, decisions);
  next = updateQueueOrder(next, now);
  return {state: next, decisions};
}

/**
 * Gets the time at which a waiting request must be decided on without a further event.
 * @param state - The service's admission state.
 * @param rules - Rules in force.
 * @returns Monotonic milliseconds, or undefined if no request waits.
 */
export function getNextDecisionAt(
  state: AdmissionState,
  rules: AdmissionRules,
): number | undefined {
  if (state.waiting.length === 0) return undefined;
  return Math.min(
    ...state.waiting.map(({arrivedAt, deadlineAt}) =>
      Math.min(arrivedAt + rules.maxQueueMs, deadlineAt - rules.medianMs),
    ),
  );
}

function applyEvent(
  state: AdmissionState,
  event: AdmissionEvent,
): AdmissionState {
  switch (event.kind) {
    case AdmissionEventKind.Arrived:
      return {...state, waiting: [...state.waiting, event.request]};
    case AdmissionEventKind.Cancelled:
      return {
        ...state,
        waiting: state.waiting.filter(({id}) => id !== event.requestId),
      };
    case AdmissionEventKind.Released:
      return updateEndpoint(state, event.endpointId, endpoint => ({
        ...endpoint,
        inFlight: Math.max(0, endpoint.inFlight - 1),
      }));
    case AdmissionEventKind.HealthChanged:
      return updateEndpoint(state, event.endpointId, endpoint => ({
        ...endpoint,
        health: event.health,
      }));
    case AdmissionEventKind.Ticked:
      return state;
  }
}

function updateEndpoint(
  state: AdmissionState,
  endpointId: string,
  update: (endpoint: AdmissionEndpoint) => AdmissionEndpoint,
): AdmissionState {
  return {
    ...state,
    endpoints: state.endpoints.map(endpoint =>
      endpoint.id === endpointId ? update(endpoint) : endpoint,
    ),
  };
}

/** Refuses requests that cannot meet their deadline or have waited longer than allowed. */
function refuseExpired(
  state: AdmissionState,
  now: number,
  rules: AdmissionRules,
  decisions: AdmissionDecision[],
): AdmissionState {
  return refuseWithReason(state, decisions, ({arrivedAt, deadlineAt}) => {
    if (deadlineAt - now < rules.medianMs || deadlineAt <= now) {
      return RefusalReason.DeadlineTooShort;
    }
    return now - arrivedAt > rules.maxQueueMs
      ? RefusalReason.QueueTimeout
      : undefined;
  });
}

function admitWaiting(
  state: AdmissionState,
  now: number,
  rules: AdmissionRules,
  decisions: AdmissionDecision[],
): AdmissionState {
  let next = state;
  for (const request of orderWaiting(state)) {
    const endpoint = selectEndpoint(next, request, now, rules);
    if (!endpoint) continue;
    const waitedMs = now - request.arrivedAt;
    decisions.push({requestId: request.id, endpointId: endpoint.id, waitedMs});
    next = updateEndpoint(next, endpoint.id, admitted => ({
      ...admitted,
      inFlight: admitted.inFlight + 1,
      lastAdmittedAt: now,
    }));
    next = {
      ...next,
      waiting: next.waiting.filter(({id}) => id !== request.id),
      windowMinWaitMs: Math.min(next.windowMinWaitMs, waitedMs),
    };
  }
  return next;
}

function orderWaiting(state: AdmissionState): readonly AdmissionRequest[] {
  if (state.waiting.length < 2) return state.waiting;
  const byArrival = state.isLifo ? state.waiting.toReversed() : state.waiting;
  return byArrival.toSorted(compareRequests);
}

/** Selects the endpoint with the most free slots; ties go to the least recently used one. */
function selectEndpoint(
  state: AdmissionState,
  request: AdmissionRequest,
  now: number,
  rules: AdmissionRules,
): AdmissionEndpoint | undefined {
  if (!isWithinHeadroom(state, request, now, rules)) return undefined;
  let best: AdmissionEndpoint | undefined;
  let bestFree = 0;
  for (const endpoint of state.endpoints) {
    if (request.excluded?.has(endpoint.id)) continue;
    const free = getFreeSlots(endpoint, now, rules);
    const isBetter =
      free > bestFree ||
      (best !== undefined &&
        free === bestFree &&
        endpoint.lastAdmittedAt < best.lastAdmittedAt);
    if (isBetter) {
      best = endpoint;
      bestFree = free;
    }
  }
  return best;
}

function isWithinHeadroom(
  state: AdmissionState,
  request: AdmissionRequest,
  now: number,
  rules: AdmissionRules,
): boolean {
  const isOtherRegion = request.origin === RequestOrigin.OtherRegion;
  const isBulk = request.priority === Priority.Bulk;
  if (!isOtherRegion && !isBulk) return true;
  const free = getServiceFreeSlots(state, now, rules);
  const reserved = rules.headroom * getOwnedSlots(state, rules);
  if (isOtherRegion && free <= reserved) return false;
  // One bulk request may always run: with very few slots the reserve would starve the class.
  const isIdle = state.endpoints.every(({inFlight}) => inFlight === 0);
  return !isBulk || isIdle || free - reserved >= 1;
}

/** Refuses requests that may not wait any longer or that exceed the maximum queue length. */
function refuseExcess(
  state: AdmissionState,
  now: number,
  rules: AdmissionRules,
  decisions: AdmissionDecision[],
): AdmissionState {
  const ownedSlots = getOwnedSlots(state, rules);
  const next = refuseWithReason(state, decisions, ({arrivedAt}) => {
    if (ownedSlots === 0) return RefusalReason.NoEndpoint;
    return now - arrivedAt >= rules.maxQueueMs
      ? RefusalReason.QueueTimeout
      : undefined;
  });
  const excess = next.waiting.length - ownedSlots * MAX_WAITING_PER_SLOT;
  if (excess <= 0) return next;
  const last = new Set(orderWaiting(next).slice(-excess));
  return refuseWithReason(next, decisions, request =>
    last.has(request) ? RefusalReason.QueueFull : undefined,
  );
}

function refuseWithReason(
  state: AdmissionState,
  decisions: AdmissionDecision[],
  getReason: (request: AdmissionRequest) => RefusalReason | undefined,
): AdmissionState {
  if (state.waiting.length === 0) return state;
  const waiting = state.waiting.filter(request => {
    const reason = getReason(request);
    if (reason) decisions.push({requestId: request.id, reason});
    return reason === undefined;
  });
  return waiting.length === state.waiting.length ? state : {...state, waiting};
}

/**
 * Switches between FIFO and LIFO. LIFO starts after a window whose shortest wait shows a
 * standing queue. It ends when the queue empties, because waits under LIFO are short even
 * if the queue is still long.
 */
function updateQueueOrder(state: AdmissionState, now: number): AdmissionState {
  if (state.waiting.length === 0) {
    return {
      ...state,
      isLifo: false,
      windowStartedAt: now,
      windowMinWaitMs: Infinity,
    };
  }
  if (now - state.windowStartedAt < QUEUE_WINDOW_MS) return state;
  const oldestWaitMs = now - Math.min(...state.waiting.map(r => r.arrivedAt));
  const minWaitMs = Math.min(state.windowMinWaitMs, oldestWaitMs);
  return {
    ...state,
    isLifo: state.isLifo || minWaitMs > STANDING_WAIT_MS,
    windowStartedAt: now,
    windowMinWaitMs: Infinity,
  };
}
