import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

/** Upper bounds of the latency histogram buckets, in seconds. */
const LATENCY_BUCKETS_S = [
  0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2.5, 5,
];

/** Upper bounds of the buckets of event loop delays, in seconds. */
const DELAY_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4];

/** Prometheus metrics of an instance. */
export interface DirectMetrics {
  requests: Counter<'service' | 'status' | 'decided_by'>;
  attempts: Counter<'service' | 'outcome'>;
  retries: Counter<'service' | 'cause'>;
  requestSeconds: Histogram<'service'>;
  attemptSeconds: Histogram<'service'>;
  directoryResponses: Counter<'status'>;
  controlChanges: Counter<'kind'>;
  peerCalls: Counter<'result'>;
  gossip: Counter<'result'>;
  endpointLimit: Gauge<'endpoint'>;
  endpointNotices: Gauge<'notice'>;
  ratePermits: Counter<'result'>;
  quotas: Counter<'result'>;
  placements: Counter<'service' | 'endpoint' | 'cache'>;
  popularObjects: Gauge<'service'>;
  configurationVersion: Gauge;
  configurationLagSeconds: Gauge;
  eventLoopDelaySeconds: Histogram;
  openRequests: Gauge;
  connections: Gauge<'listener'>;
  acceptedConnections: Counter<'listener'>;
  closedConnections: Counter<'listener' | 'reason'>;
  pausedConnections: Gauge;
  heldBytes: Gauge<'kind'>;
}

/**
 * Creates the metrics of an instance.
 * @param registry - The registry in which they are registered.
 */
export function createDirectMetrics(registry: Registry): DirectMetrics {
  const registers = [registry];
  return {
    requests: new Counter({
      name: 'primrose_direct_requests_total',
      help: 'Requests by service, status and who decided it.',
      labelNames: ['service', 'status', 'decided_by'],
      registers,
    }),
    attempts: new Counter({
      name: 'primrose_direct_attempts_total',
      help: 'Attempts at endpoints by outcome.',
      labelNames: ['service', 'outcome'],
      registers,
    }),
    retries: new Counter({
      name: 'primrose_direct_repeats_total',
      help: 'Attempts beyond the first of a request, or refused by the allowance.',
      labelNames: ['service', 'cause'],
      registers,
    }),
    requestSeconds: new Histogram({
      name: 'primrose_direct_request_seconds',
      help: 'Time from the first byte of a request to its final answer.',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    attemptSeconds: new Histogram({
      name: 'primrose_direct_attempt_seconds',
      help: 'Time of one attempt at an endpoint.',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    directoryResponses: new Counter({
      name: 'primrose_direct_directory_answers_total',
      help: 'Answers of the directory by status.',
      labelNames: ['status'],
      registers,
    }),
    controlChanges: new Counter({
      name: 'primrose_direct_control_changes_total',
      help: 'Changes of the control view by kind.',
      labelNames: ['kind'],
      registers,
    }),
    peerCalls: new Counter({
      name: 'primrose_direct_peer_calls_total',
      help: 'Exchanges with other instances by result.',
      labelNames: ['result'],
      registers,
    }),
    gossip: new Counter({
      name: 'primrose_direct_gossip_total',
      help: 'Datagrams between instances by result.',
      labelNames: ['result'],
      registers,
    }),
    endpointLimit: new Gauge({
      name: 'primrose_direct_endpoint_limit',
      help: 'Requests per second that a limited endpoint accepts from all instances together.',
      labelNames: ['endpoint'],
      registers,
    }),
    endpointNotices: new Gauge({
      name: 'primrose_direct_endpoint_notices',
      help: 'Endpoints that stated that they leave, or that they want no requests for some time.',
      labelNames: ['notice'],
      registers,
    }),
    ratePermits: new Counter({
      name: 'primrose_direct_rate_permits_total',
      help: 'Permits for requests to limited endpoints by result.',
      labelNames: ['result'],
      registers,
    }),
    quotas: new Counter({
      name: 'primrose_direct_quotas_total',
      help: 'Requests of accounts with a quota by result.',
      labelNames: ['result'],
      registers,
    }),
    placements: new Counter({
      name: 'primrose_direct_placements_total',
      help: 'Attempts by position of the endpoint for the object and by whether it has the object cached, as expected.',
      labelNames: ['service', 'endpoint', 'cache'],
      registers,
    }),
    popularObjects: new Gauge({
      name: 'primrose_direct_popular_objects',
      help: 'Objects with more than one endpoint by their demand at this instance.',
      labelNames: ['service'],
      registers,
    }),
    configurationVersion: new Gauge({
      name: 'primrose_direct_configuration_version',
      help: 'Version of the configuration in force.',
      registers,
    }),
    configurationLagSeconds: new Gauge({
      name: 'primrose_direct_configuration_lag_seconds',
      help: 'Time for which another instance has been known to have a newer configuration.',
      registers,
    }),
    eventLoopDelaySeconds: new Histogram({
      name: 'primrose_direct_event_loop_delay_seconds',
      help: 'Delay of a periodic timer, during which nothing is accepted or answered.',
      buckets: DELAY_BUCKETS_S,
      registers,
    }),
    openRequests: new Gauge({
      name: 'primrose_direct_open_requests',
      help: 'Requests that are not answered to the end.',
      registers,
    }),
    connections: new Gauge({
      name: 'primrose_direct_connections',
      help: 'Open connections by listener.',
      labelNames: ['listener'],
      registers,
    }),
    acceptedConnections: new Counter({
      name: 'primrose_direct_accepted_connections_total',
      help: 'Connections that were accepted, by listener.',
      labelNames: ['listener'],
      registers,
    }),
    closedConnections: new Counter({
      name: 'primrose_direct_closed_connections_total',
      help: 'Connections closed because of a limit, by listener and reason.',
      labelNames: ['listener', 'reason'],
      registers,
    }),
    pausedConnections: new Gauge({
      name: 'primrose_direct_paused_connections',
      help: 'Connections of callers that are not read because of their pipelined requests.',
      registers,
    }),
    heldBytes: new Gauge({
      name: 'primrose_direct_held_bytes',
      help: 'Bytes of request bodies and of responses that are held in memory.',
      labelNames: ['kind'],
      registers,
    }),
  };
}
