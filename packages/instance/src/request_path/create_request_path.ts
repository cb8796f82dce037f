import type {Tracer} from '@opentelemetry/api';
import type {
  ConnectFunction,
  InvariantMonitor,
  Logger,
  TimerService,
} from '@primrosestage/common';
import type {ConfigurationView, SystemSettings} from '@primrosestage/control';
import type {
  EndpointOwnership,
  Hash64,
  InstanceInfo,
  TargetSelector,
  Topology,
} from '@primrosestage/steering';
import type {Registry} from 'prom-client';
import {HomeRouter} from '../idempotency/index.js';
import {IngressTask, RequestTracker} from '../ingress/index.js';
import {OwnerTask} from '../owner/index.js';
import {Dispatcher, type LinkPacer, RelayTask} from '../relay/index.js';
import {RetryLimiter} from '../retry/index.js';
import {RequestMetrics, ServiceTimes} from '../telemetry/index.js';

/** Configures the tasks that process a request. */
export interface RequestPathOptions {
  topology: Topology;
  self: InstanceInfo;
  /** Start time of this instance in milliseconds since the Unix epoch. */
  incarnation: number;
  timing: SystemSettings['timing'];
  ownership: EndpointOwnership;
  selector: TargetSelector;
  configuration: ConfigurationView;
  hash: Hash64;
  timers: TimerService;
  logger: Logger;
  registry: Registry;
  monitor: InvariantMonitor;
  tracer: Tracer;
  connect: ConnectFunction;
  /** Gets the instances that may store idempotency key records; all instances if absent. */
  getLiveInstances?(): readonly InstanceInfo[];
  /** Limits the transfer rate on the links between regions; unlimited if absent. */
  pace?: LinkPacer;
}

/** Holds the tasks that process a request. */
export interface RequestPath extends AsyncDisposable {
  readonly ingress: IngressTask;
  readonly owner: OwnerTask;
  readonly homes: HomeRouter;
  readonly tracker: RequestTracker;
}

/**
 * Creates the tasks that process a request.
 * @param options - Dependencies, clock, telemetry and timing.
 */
export function createRequestPath(options: RequestPathOptions): RequestPath {
  const {topology, self, timers, timing, registry} = options;
  const metrics = new RequestMetrics(registry);
  const times = new ServiceTimes(timers);
  const retries = new RetryLimiter({timers, times, metrics});
  const tracker = new RequestTracker();
  const sharedOptions = {
    ...options,
    progressTimeoutMs: timing.progressTimeoutMs,
    metrics,
    times,
    retries,
    tracker,
  };
  const owner = new OwnerTask({
    ...sharedOptions,
    slowStartMs: timing.slowStartMs,
    probeIntervalMs: timing.probeIntervalMs,
  });
  const relay = new RelayTask(sharedOptions);
  const dispatcher = new Dispatcher({...sharedOptions, owner, relay});
  const homes = new HomeRouter({
    ...sharedOptions,
    dispatcher,
    relay,
    getLiveInstances: options.getLiveInstances ?? (() => topology.instances),
  });
  const ingress = new IngressTask({
    ...sharedOptions,
    parse: {
      topology,
      self,
      timers,
      defaultDeadlineMs: timing.defaultDeadlineMs,
      maxRequestMs: timing.maxRequestMs,
    },
    owner,
    dispatcher,
    homes,
  });
  return {
    ingress,
    owner,
    homes,
    tracker,
    async [Symbol.asyncDispose]() {
      await homes[Symbol.asyncDispose]();
      await relay[Symbol.asyncDispose]();
      await owner[Symbol.asyncDispose]();
    },
  };
}
