import type {Tracer} from '@opentelemetry/api';
import {
  type ConnectFunction,
  Invariant,
  type InvariantMonitor,
  type Logger,
  Outcome,
  RequestClass,
  Step,
  type TimerService,
} from '@primrosestage/common';
import type {ConfigurationView} from '@primrosestage/control';
import {
  type AdmissionRules,
  type Endpoint,
  type EndpointOwnership,
  getDrainingSince,
  type HealthEvent,
  type InstanceInfo,
  RefusalReason,
  RequestOrigin,
  type Topology,
  getServiceKey,
} from '@primrosestage/steering';
import type {AttemptResult, Refusal} from '../exchange/index.js';
import type {RequestBody} from '../http/index.js';
import type {RequestContext} from '../request_context.js';
import type {RetryLimiter} from '../retry/index.js';
import {
  type RequestMetrics,
  type ServiceTimes,
  startHopSpan,
} from '../telemetry/index.js';
import {Backend, type BackendResult} from './backend.js';
import {notifyOnEnd} from './notify_on_end.js';
import {isEndpointDrained} from './is_endpoint_drained.js';
import {once} from './once.js';
import type {LoadReport} from './probe_endpoint.js';
import {Prober} from './prober.js';
import {ServiceQueue} from './service_queue.js';

/** Defaults that apply until a team's document is known. */
const DEFAULT_HEADROOM = 0.2;
const DEFAULT_MAX_QUEUE_MS = 50;

/** Configures the owner task. */
export interface OwnerTaskOptions {
  topology: Topology;
  self: InstanceInfo;
  ownership: EndpointOwnership;
  configuration: ConfigurationView;
  timers: TimerService;
  logger: Logger;
  monitor: InvariantMonitor;
  tracer: Tracer;
  metrics: RequestMetrics;
  times: ServiceTimes;
  retries: RetryLimiter;
  connect: ConnectFunction;
  progressTimeoutMs: number;
  slowStartMs: number;
  probeIntervalMs: number;
}

/** Admits requests to the endpoints that this instance owns and sends them there. */
export class OwnerTask implements AsyncDisposable {
  private readonly queues = new Map<string, ServiceQueue>();
  private readonly backends = new Map<string, Backend>();
  private readonly prober: Prober;
  private attemptCount = 0;

  constructor(private readonly options: OwnerTaskOptions) {
    this.prober = new Prober({
      connect: options.connect,
      timers: options.timers,
      logger: options.logger,
      intervalMs: options.probeIntervalMs,
      getEndpoints: () => this.getOwnedEndpoints(),
      onHealthEvent: (endpoint, event) => this.observeHealth(endpoint, event),
    });
  }

  /**
   * Runs a request at an owned endpoint or refuses it.
   * @param ctx - The request's context.
   * @param body - Its body.
   * @param signal - Cancels the request.
   * @returns The answer, whose body has not been read yet, or the refusal.
   */
  async execute(
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const queue = this.getQueue(ctx.service);
    const excluded = new Set<string>();
    let mayHaveRun = false;
    for (let attempts = 1; ; attempts++) {
      const decision = await queue.admit(
        this.createAdmissionRequest(ctx, excluded),
        signal,
      );
      if (decision?.endpointId === undefined) {
        return {
          refusal: this.refuse(ctx, queue, decision?.reason, mayHaveRun),
        };
      }
      this.options.metrics.queueWaitSeconds.observe(
        getLabels(ctx),
        decision.waitedMs / 1e3,
      );
      const endpoint = this.options.topology.getEndpoint(decision.endpointId)!;
      this.options.monitor.check(
        Invariant.AtMostOnce,
        !(mayHaveRun && ctx.requestClass === RequestClass.NonIdempotent),
        {requestId: ctx.requestId, peer: endpoint.id},
      );
      const result = await this.runAtEndpoint(endpoint, ctx, body, signal);
      if (result.answer) return result;
      mayHaveRun ||= result.mayHaveRun;
      excluded.add(endpoint.id);
      const shouldRetry =
        this.getOwnedEndpoints(ctx.service).some(({id}) => !excluded.has(id)) &&
        !signal.aborted &&
        this.options.retries.acquireRetry(ctx, Step.Owner, {
          mayHaveRun,
          canResend: body.canSend(),
          attempts,
        });
      if (shouldRetry) continue;
      const freeSlots = queue.freeSlots;
      return {
        refusal: mayHaveRun
          ? {
              ...result.refusal,
              ...createUnknownOutcome(result.refusal),
              freeSlots,
            }
          : {...result.refusal, freeSlots},
      };
    }
  }

  /**
   * Gets the free slots of a service at this instance.
   * @param service - The service.
   */
  getFreeSlots(service: {team: string; name: string}): number {
    return this.getQueue(service).freeSlots;
  }

  /**
   * Gets the number of requests that this instance has in flight at an endpoint.
   * @param endpoint - The endpoint.
   */
  getInFlight(endpoint: Endpoint): number {
    const service = {team: endpoint.team, name: endpoint.service};
    return this.getQueue(service).getInFlight(endpoint.id);
  }

  /**
   * Gets the last load report of an owned endpoint.
   * @param endpointId - Id of the endpoint.
   */
  getLoadReport(endpointId: string): LoadReport | undefined {
    return this.prober.getLoadReport(endpointId);
  }

  /** Re-evaluates the waiting requests after limits have changed. */
  refresh(): void {
    for (const queue of this.queues.values()) queue.refresh();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.prober[Symbol.asyncDispose]();
    for (const queue of this.queues.values()) {
      await queue[Symbol.asyncDispose]();
    }
    for (const backend of this.backends.values()) {
      await backend[Symbol.asyncDispose]();
    }
  }

  private async runAtEndpoint(
    endpoint: Endpoint,
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<BackendResult> {
    const {timers, tracer, monitor, metrics} = this.options;
    const queue = this.getQueue(ctx.service);
    const startedAt = timers.now();
    const endpointLabels = {...getLabels(ctx), endpoint: endpoint.id};
    const inFlight = queue.getInFlight(endpoint.id);
    metrics.inFlight.set(endpointLabels, inFlight);
    monitor.check(Invariant.EndpointWithinSlots, inFlight <= endpoint.slots, {
      peer: endpoint.id,
      inFlight,
      slots: endpoint.slots,
    });
    const span = startHopSpan({
      tracer,
      step: Step.Backend,
      peer: endpoint.id,
      requestId: ctx.requestId,
      traceParent: ctx.traceParent,
    });
    const release = once(() => {
      queue.release(endpoint.id);
      metrics.inFlight.set(endpointLabels, queue.getInFlight(endpoint.id));
    });
    const result = await this.getBackend(endpoint).send(
      ctx,
      body,
      span.traceParent,
      signal,
    );
    if (!result.answer) {
      span.end(result.refusal.outcome, result.refusal.message);
      this.options.logger.warn('request failed at endpoint', {
        requestId: ctx.requestId,
        step: Step.Backend,
        peer: endpoint.id,
        outcome: result.refusal.outcome,
        message: result.refusal.message,
      });
      if (result.mayRunForMs > 0) timers.after(result.mayRunForMs, release);
      else release();
      return result;
    }
    const end = once((message?: string) => {
      if (message === undefined) {
        this.options.times.record(
          getServiceKey(ctx.service),
          timers.now() - startedAt,
        );
      }
      span.end(Outcome.Answered, message);
      release();
    });
    const {answer} = result;
    return {
      answer: {
        ...answer,
        // The slot of the answered request is free by the time this count is used, unless a
        // waiting request takes it.
        freeSlots: queue.freeSlots + (queue.waitingCount === 0 ? 1 : 0),
        chunks: notifyOnEnd(answer.chunks, end),
        cancel: () => {
          answer.cancel();
          end('cancelled');
        },
      },
    };
  }

  private createAdmissionRequest(
    ctx: RequestContext,
    excluded: ReadonlySet<string>,
  ) {
    const {self, timers} = this.options;
    return {
      id: `${ctx.requestId}/${++this.attemptCount}`,
      arrivedAt: timers.now(),
      deadlineAt: ctx.deadlineAt,
      priority: ctx.service.priority,
      origin:
        ctx.sourceRegion !== self.region
          ? RequestOrigin.OtherRegion
          : ctx.sourceZone !== self.zone
            ? RequestOrigin.SameRegion
            : RequestOrigin.SameZone,
      excluded,
    };
  }

  private refuse(
    ctx: RequestContext,
    queue: ServiceQueue,
    reason: RefusalReason | undefined,
    mayHaveRun: boolean,
  ): Refusal {
    if (reason) {
      this.options.metrics.refusals.inc({...getLabels(ctx), reason});
    }
    return {
      outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
      status: mayHaveRun ? 502 : 503,
      step: Step.Owner,
      peer: this.options.self.id,
      message: `no slot for ${ctx.service.name}: ${reason ?? 'cancelled'}`,
      freeSlots: queue.freeSlots,
    };
  }

  private getOwnedEndpoints(service?: {
    team: string;
    name: string;
  }): readonly Endpoint[] {
    const {topology, ownership} = this.options;
    const endpoints = service
      ? topology.getEndpoints(service.team, service.name)
      : topology.endpoints;
    return endpoints.filter(
      ({id, region}) =>
        region === this.options.self.region && ownership.getLimit(id) > 0,
    );
  }

  private getQueue(service: {team: string; name: string}): ServiceQueue {
    const key = getServiceKey(service);
    let queue = this.queues.get(key);
    if (!queue) {
      const {topology, self, timers} = this.options;
      queue = new ServiceQueue({
        endpointIds: topology
          .getEndpoints(service.team, service.name)
          .filter(({region}) => region === self.region)
          .map(({id}) => id),
        timers,
        getRules: () => this.getRules(service),
      });
      this.queues.set(key, queue);
    }
    return queue;
  }

  private getRules(service: {team: string; name: string}): AdmissionRules {
    const {configuration, ownership, topology, times, slowStartMs} =
      this.options;
    const preset = configuration.getPreset(service.team);
    const drains = configuration.getDrains();
    return {
      getLimit: id => {
        const endpoint = topology.getEndpoint(id);
        return !endpoint || isEndpointDrained(endpoint, drains)
          ? 0
          : Math.min(endpoint.slots, ownership.getLimit(id));
      },
      headroom: preset?.headroom ?? DEFAULT_HEADROOM,
      maxQueueMs: preset?.maxQueueMs ?? DEFAULT_MAX_QUEUE_MS,
      slowStartMs,
      medianMs: times.getPercentiles(getServiceKey(service)).medianMs,
    };
  }

  private getBackend(endpoint: Endpoint): Backend {
    let backend = this.backends.get(endpoint.id);
    if (!backend) {
      backend = new Backend({
        ...this.options,
        endpoint,
        onHealthEvent: event => this.observeHealth(endpoint, event),
      });
      this.backends.set(endpoint.id, backend);
    }
    return backend;
  }

  private observeHealth(endpoint: Endpoint, event: HealthEvent): void {
    const queue = this.getQueue({team: endpoint.team, name: endpoint.service});
    const previousHealth = queue.getHealth(endpoint.id);
    const health = queue.observeHealth(endpoint.id, event);
    const drainingSince = getDrainingSince(health);
    this.backends.get(endpoint.id)?.setDrainingSince(drainingSince);
    const hasChanged =
      previousHealth.failingSince !== health.failingSince ||
      getDrainingSince(previousHealth) !== drainingSince;
    if (!hasChanged) return;
    this.options.logger.info('endpoint health changed', {
      step: Step.Backend,
      peer: endpoint.id,
      event: event.kind,
      isFailing: health.failingSince !== undefined,
      isDraining: drainingSince !== undefined,
    });
  }
}

function getLabels(ctx: RequestContext): {team: string; service: string} {
  return {team: ctx.service.team, service: ctx.service.name};
}

function createUnknownOutcome({outcome, status}: Refusal) {
  return {
    outcome: Outcome.Unknown as const,
    status: outcome === Outcome.Unknown ? status : 502,
  };
}
