/** Fraction of the stop timeout after which only requests that surely end in time are forwarded. */
const ACCEPT_FRACTION = 0.5;
/** Time reserved for the exit of the process, in milliseconds. */
const EXIT_RESERVE_MS = 500;

/** Times of a planned stop, monotonic and in milliseconds. */
export interface StopSchedule {
  /** Until when callers that hold a cached directory response are served as usual. */
  acceptUntil: number;
  /** Time at which requests that are still open are ended. */
  endAt: number;
}

/** Describes a request that may be forwarded while the instance stops. */
export interface StoppingRequest {
  /** Current monotonic time in milliseconds. */
  now: number;
  /** Monotonic time in milliseconds at which the request is answered at the latest. */
  answeredBy: number;
  /** Time that an endpoint is expected to take, in milliseconds. */
  expectedMs: number;
}

/**
 * Divides the time of a planned stop.
 * @param startedAt - Monotonic time in milliseconds at which the stop was requested.
 * @param stopTimeoutMs - Time after which the process is killed, in milliseconds.
 */
export function createStopSchedule(
  startedAt: number,
  stopTimeoutMs: number,
): StopSchedule {
  return {
    acceptUntil: startedAt + stopTimeoutMs * ACCEPT_FRACTION,
    endAt: startedAt + stopTimeoutMs - EXIT_RESERVE_MS,
  };
}

/**
 * Decides whether a stopping instance may still forward a request. Callers can repeat a request that
 * was refused, but not a non-idempotent one that was aborted, so that a request that could be
 * aborted by the end of the stop is refused instead.
 * @param schedule - The planned stop.
 * @param request - The times of the request.
 */
export function canFinishBeforeStop(
  schedule: StopSchedule,
  {now, answeredBy, expectedMs}: StoppingRequest,
): boolean {
  if (answeredBy <= schedule.endAt) return true;
  return now <= schedule.acceptUntil && now + expectedMs <= schedule.endAt;
}
