/** Identifies the source of a drain signal. */
export enum DrainSource {
  Response = 'response',
  HealthProbe = 'health-probe',
  LoadReport = 'load-report',
}

/** Holds the observed health of an endpoint; times are monotonic milliseconds. */
export interface EndpointHealth {
  /** Time of the first drain signal from each source whose signal is active. */
  readonly drainSignals: Readonly<Partial<Record<DrainSource, number>>>;
  /** Start of the current failure, during which the endpoint is excluded from selection. */
  readonly failingSince?: number;
  /** Earliest time at which a successful probe ends the failure. */
  readonly retryAt: number;
  /** Failed exchanges since the last response. */
  readonly failureCount: number;
  /** Failures since the last response; each doubles the backoff before the next recovery. */
  readonly outageCount: number;
  readonly lastAnswerAt?: number;
  readonly slowStartSince?: number;
}

/** Identifies the kind of an observation of an endpoint. */
export enum HealthEventKind {
  /** A complete response to a request arrived. */
  Answered = 'answered',
  /** A connection could not be opened. */
  ConnectFailed = 'connect-failed',
  /** An open connection made no progress. */
  Stalled = 'silent',
  /** A connection broke, or the response was malformed. */
  ExchangeFailed = 'exchange-failed',
  ProbeHealthy = 'probe-healthy',
  ProbeFailed = 'probe-failed',
  DrainSignal = 'drain-sign',
  /** A source of a drain signal reports that the endpoint no longer drains. */
  DrainSignalEnded = 'drain-sign-ended',
}

/** Describes an observation of an endpoint. */
export type HealthEvent =
  | {
      readonly kind: Exclude<
        HealthEventKind,
        | HealthEventKind.DrainSignal
        | HealthEventKind.DrainSignalEnded
        | HealthEventKind.ProbeFailed
      >;
    }
  | {
      readonly kind: HealthEventKind.ProbeFailed;
      /** When the probe was sent. */
      readonly sentAt: number;
    }
  | {
      readonly kind:
        HealthEventKind.DrainSignal | HealthEventKind.DrainSignalEnded;
      readonly source: DrainSource;
    };

/** The health of an endpoint that has not been observed yet. */
export const INITIAL_HEALTH: EndpointHealth = {
  drainSignals: {},
  retryAt: 0,
  failureCount: 0,
  outageCount: 0,
};

/**
 * Failed exchanges without a response in between after which an endpoint counts as failing.
 * A single one can be caused by the request itself.
 */
const FAILURE_THRESHOLD = 5;

const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;

/**
 * Time in milliseconds after which a healthy probe clears a drain signal from a response.
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
    case HealthEventKind.Stalled:
      return markFailing(health, now);
    case HealthEventKind.ExchangeFailed:
      return health.failureCount + 1 >= FAILURE_THRESHOLD
        ? markFailing(health, now)
        : {...health, failureCount: health.failureCount + 1};
    case HealthEventKind.ProbeFailed:
      // A response received since the probe was sent is stronger evidence than the probe.
      return (health.lastAnswerAt ?? -Infinity) >= event.sentAt
        ? health
        : markFailing(health, now);
    case HealthEventKind.ProbeHealthy:
      return recover(health, now);
    case HealthEventKind.DrainSignal:
      return {
        ...health,
        drainSignals: {[event.source]: now, ...health.drainSignals},
      };
    case HealthEventKind.DrainSignalEnded:
      return removeDrainSignal(health, event.source);
  }
}

/**
 * Gets the time of the first drain signal that is still active.
 * @param health - The endpoint's health.
 * @returns Monotonic milliseconds, or undefined if there is none.
 */
export function getDrainingSince(health: EndpointHealth): number | undefined {
  const signalTimes = Object.values(health.drainSignals);
  return signalTimes.length === 0 ? undefined : Math.min(...signalTimes);
}

/**
 * Checks whether an endpoint may be selected.
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
  // An endpoint that recovers counts as restarted, so its earlier drain signals no longer apply.
  return {
    ...health,
    drainSignals: {},
    failingSince: undefined,
    slowStartSince: now,
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
