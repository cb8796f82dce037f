/** Names the sources from which a sign of draining can come. */
export enum DrainSource {
  Response = 'response',
  HealthProbe = 'health-probe',
  LoadReport = 'load-report',
}

/** Holds what is known of an endpoint's ability to take requests; times are monotonic milliseconds. */
export interface EndpointHealth {
  /** Time of the first sign of draining, per source that maintains it. */
  readonly drainSignals: Readonly<Partial<Record<DrainSource, number>>>;
  /** Begin of the failure, while the endpoint is out of the choice. */
  readonly failingSince?: number;
  /** Earliest time at which a good probe ends the failure. */
  readonly retryAt: number;
  /** Failed exchanges since the last answer. */
  readonly failureCount: number;
  /** Failures in a row after a recovery; doubles the time until the next trial. */
  readonly outageCount: number;
  readonly lastAnswerAt?: number;
  readonly slowStartBeganAt?: number;
}

/** Names what was observed of an endpoint. */
export enum HealthEventKind {
  /** A whole answer arrived on a request. */
  Answered = 'answered',
  /** A connection could not be opened. */
  ConnectFailed = 'connect-failed',
  /** An open connection made no progress. */
  Silent = 'silent',
  /** A connection broke, or the answer was not well formed. */
  ExchangeFailed = 'exchange-failed',
  ProbeHealthy = 'probe-healthy',
  ProbeFailed = 'probe-failed',
  DrainSign = 'drain-sign',
  /** A source that gave a sign of draining says that it is over. */
  DrainSignEnded = 'drain-sign-ended',
}

/** Describes an observation. */
export type HealthEvent =
  | {
      readonly kind: Exclude<
        HealthEventKind,
        | HealthEventKind.DrainSign
        | HealthEventKind.DrainSignEnded
        | HealthEventKind.ProbeFailed
      >;
    }
  | {
      readonly kind: HealthEventKind.ProbeFailed;
      /** When the probe was sent. */
      readonly sentAt: number;
    }
  | {
      readonly kind: HealthEventKind.DrainSign | HealthEventKind.DrainSignEnded;
      readonly source: DrainSource;
    };

/** The health of an endpoint of which nothing was observed. */
export const UNOBSERVED_HEALTH: EndpointHealth = {
  drainSignals: {},
  retryAt: 0,
  failureCount: 0,
  outageCount: 0,
};

/**
 * A single broken exchange can be the request's fault; five in a row without an answer are
 * the endpoint's.
 */
const FAILURE_THRESHOLD = 5;

const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;

/**
 * Time after which a sign given with a response counts as ended where probes are healthy.
 * It is longer than any request and drain, because health reports can be stale.
 */
const RESPONSE_SIGNAL_TTL_MS = 60_000;

/**
 * Applies an observation to the health of an endpoint.
 * @param health - The health so far.
 * @param event - The observation.
 * @param now - Monotonic time in milliseconds.
 * @returns The new health.
 */
export function reduceHealth(
  health: EndpointHealth,
  event: HealthEvent,
  now: number,
): EndpointHealth {
  switch (event.kind) {
    case HealthEventKind.Answered:
      return {...health, failureCount: 0, outageCount: 0, lastAnswerAt: now};
    case HealthEventKind.ConnectFailed:
    case HealthEventKind.Silent:
      return markFailing(health, now);
    case HealthEventKind.ExchangeFailed:
      return health.failureCount + 1 >= FAILURE_THRESHOLD
        ? markFailing(health, now)
        : {...health, failureCount: health.failureCount + 1};
    case HealthEventKind.ProbeFailed:
      // An answer since the probe was sent is stronger evidence than the probe.
      return (health.lastAnswerAt ?? -Infinity) >= event.sentAt
        ? health
        : markFailing(health, now);
    case HealthEventKind.ProbeHealthy:
      return recover(health, now);
    case HealthEventKind.DrainSign:
      return {
        ...health,
        drainSignals: {[event.source]: now, ...health.drainSignals},
      };
    case HealthEventKind.DrainSignEnded:
      return removeDrainSignal(health, event.source);
  }
}

/**
 * Gets the time of the first sign of draining that still holds.
 * @param health - The endpoint's health.
 * @returns Monotonic milliseconds, or undefined where there is no sign.
 */
export function getDrainingSince(health: EndpointHealth): number | undefined {
  const signalTimes = Object.values(health.drainSignals);
  return signalTimes.length === 0 ? undefined : Math.min(...signalTimes);
}

/**
 * Says whether an endpoint may be selected.
 * @param health - The endpoint's health.
 * @returns False while it drains or fails.
 */
export function isSelectable(health: EndpointHealth): boolean {
  return (
    health.failingSince === undefined && getDrainingSince(health) === undefined
  );
}

function markFailing(health: EndpointHealth, now: number): EndpointHealth {
  if (health.failingSince !== undefined) return health;
  const backoffMs = Math.min(
    MAX_BACKOFF_MS,
    INITIAL_BACKOFF_MS * 2 ** Math.min(health.outageCount, 10),
  );
  return {
    ...health,
    failingSince: now,
    retryAt: now + backoffMs,
    failureCount: 0,
    outageCount: health.outageCount + 1,
  };
}

function recover(health: EndpointHealth, now: number): EndpointHealth {
  if (health.failingSince === undefined) {
    const signalAt = health.drainSignals[DrainSource.Response];
    return signalAt !== undefined && now - signalAt >= RESPONSE_SIGNAL_TTL_MS
      ? removeDrainSignal(health, DrainSource.Response)
      : health;
  }
  if (now < health.retryAt) return health;
  // An endpoint that was unreachable and answers again was restarted: earlier signs are void.
  return {
    ...health,
    drainSignals: {},
    failingSince: undefined,
    slowStartBeganAt: now,
  };
}

function removeDrainSignal(
  health: EndpointHealth,
  source: DrainSource,
): EndpointHealth {
  const drainSignals = {...health.drainSignals};
  delete drainSignals[source];
  return {...health, drainSignals};
}
