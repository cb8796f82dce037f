import type {Outcome} from '@primrosestage/common';
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

/** Buckets in seconds, from a cached response to the longest request. */
const SECONDS_BUCKETS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
];

/** Labels of a service. */
export interface ServiceLabels {
  team: string;
  service: string;
}

/** Metrics of requests. */
export class RequestMetrics {
  readonly outcomes: Counter<'team' | 'service' | 'outcome' | 'step'>;
  readonly cancelled: Counter<'team' | 'service'>;
  readonly inFlight: Gauge<'team' | 'service' | 'endpoint'>;
  readonly queueWaitSeconds: Histogram<'team' | 'service'>;
  readonly refusals: Counter<'team' | 'service' | 'reason'>;
  readonly retries: Counter<'team' | 'service' | 'step'>;
  readonly retryObstacles: Counter<'team' | 'service' | 'obstacle'>;
  readonly hedges: Counter<'team' | 'service'>;
  readonly requestSeconds: Histogram<'team' | 'service'>;
  readonly silentConnections: Counter<'peer'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.outcomes = new Counter({
      name: 'primrose_requests_total',
      help: 'Requests of callers by outcome and the step that decided it.',
      labelNames: ['team', 'service', 'outcome', 'step'],
      registers,
    });
    this.cancelled = new Counter({
      name: 'primrose_cancelled_requests_total',
      help: 'Requests whose caller closed the connection before the end of the answer.',
      labelNames: ['team', 'service'],
      registers,
    });
    this.inFlight = new Gauge({
      name: 'primrose_endpoint_in_flight',
      help: 'Requests admitted to an endpoint that have not ended.',
      labelNames: ['team', 'service', 'endpoint'],
      registers,
    });
    this.queueWaitSeconds = new Histogram({
      name: 'primrose_queue_wait_seconds',
      help: 'Time that admitted requests waited for a slot.',
      labelNames: ['team', 'service'],
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.refusals = new Counter({
      name: 'primrose_admission_refusals_total',
      help: 'Requests that admission refused, by reason.',
      labelNames: ['team', 'service', 'reason'],
      registers,
    });
    this.retries = new Counter({
      name: 'primrose_retries_total',
      help: 'Requests sent again, by the step that sent them.',
      labelNames: ['team', 'service', 'step'],
      registers,
    });
    this.retryObstacles = new Counter({
      name: 'primrose_retry_obstacles_total',
      help: 'Failed attempts after which the request was not sent again, by reason.',
      labelNames: ['team', 'service', 'obstacle'],
      registers,
    });
    this.hedges = new Counter({
      name: 'primrose_hedged_requests_total',
      help: 'Second requests sent because the first answer was late.',
      labelNames: ['team', 'service'],
      registers,
    });
    this.requestSeconds = new Histogram({
      name: 'primrose_request_seconds',
      help: 'Time from the arrival of a request to the end of its answer.',
      labelNames: ['team', 'service'],
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.silentConnections = new Counter({
      name: 'primrose_silent_connections_total',
      help: 'Exchanges ended because the peer made no progress.',
      labelNames: ['peer'],
      registers,
    });
  }

  /**
   * Counts a completed request of a caller.
   * @param labels - Labels of its service.
   * @param outcome - Outcome of the request.
   * @param step - Step that decided the outcome.
   */
  countOutcome(labels: ServiceLabels, outcome: Outcome, step: string): void {
    this.outcomes.inc({...labels, outcome, step});
  }
}
