import {
  type ConnectFunction,
  type Logger,
  Step,
  type TimerService,
} from '@primrosestage/common';
import {
  DrainSource,
  type Endpoint,
  type HealthEvent,
  HealthEventKind,
} from '@primrosestage/steering';
import {PeerConnectionPool} from '../exchange/index.js';
import {
  type LoadReport,
  probeEndpoint,
  type ProbeResult,
} from './probe_endpoint.js';

/** Configures the probes of the owned endpoints. */
export interface ProberOptions {
  connect: ConnectFunction;
  timers: TimerService;
  logger: Logger;
  intervalMs: number;
  /** Gets the endpoints to probe at the time of the call. */
  getEndpoints(): readonly Endpoint[];
  /** Called with each health event that a probe of an endpoint yields. */
  onHealthEvent(endpoint: Endpoint, event: HealthEvent): void;
}

/** Probes each owned endpoint once per interval, with the probes spread evenly over it. */
export class Prober implements AsyncDisposable {
  private readonly pools = new Map<string, PeerConnectionPool>();
  private readonly reports = new Map<string, LoadReport>();
  private readonly runningProbes = new Set<string>();
  private readonly schedule: AsyncDisposable;
  private isDisposed = false;

  constructor(private readonly options: ProberOptions) {
    this.schedule = options.timers.every(options.intervalMs, () =>
      this.probeAll(),
    );
  }

  /**
   * Gets the last load report of an endpoint.
   * @param endpointId - Id of the endpoint.
   */
  getLoadReport(endpointId: string): LoadReport | undefined {
    return this.reports.get(endpointId);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    await this.schedule[Symbol.asyncDispose]();
    for (const pool of this.pools.values()) await pool[Symbol.asyncDispose]();
  }

  private probeAll(): void {
    const endpoints = this.options.getEndpoints();
    endpoints.forEach((endpoint, i) => {
      const delayMs = (i * this.options.intervalMs) / endpoints.length;
      this.options.timers.after(delayMs, () => void this.probe(endpoint));
    });
  }

  private async probe(endpoint: Endpoint): Promise<void> {
    if (this.isDisposed || this.runningProbes.has(endpoint.id)) return;
    this.runningProbes.add(endpoint.id);
    const {timers, intervalMs, onHealthEvent} = this.options;
    const sentAt = timers.now();
    const result = await probeEndpoint(
      this.getPool(endpoint),
      timers,
      intervalMs,
    );
    this.runningProbes.delete(endpoint.id);
    if (this.isDisposed) return;
    if (result.load) this.reports.set(endpoint.id, result.load);
    if (!result.isHealthy) {
      this.options.logger.debug('probe failed', {
        step: Step.Backend,
        peer: endpoint.id,
      });
      onHealthEvent(endpoint, {kind: HealthEventKind.ProbeFailed, sentAt});
      return;
    }
    onHealthEvent(endpoint, {kind: HealthEventKind.ProbeHealthy});
    this.reportDraining(endpoint, result);
  }

  private reportDraining(endpoint: Endpoint, result: ProbeResult): void {
    const {onHealthEvent} = this.options;
    const getKind = (isDraining: boolean) =>
      isDraining
        ? HealthEventKind.DrainSignal
        : HealthEventKind.DrainSignalEnded;
    onHealthEvent(endpoint, {
      kind: getKind(result.isDraining),
      source: DrainSource.HealthProbe,
    });
    if (!result.load) return;
    onHealthEvent(endpoint, {
      kind: getKind(result.load.draining),
      source: DrainSource.LoadReport,
    });
  }

  private getPool(endpoint: Endpoint): PeerConnectionPool {
    let pool = this.pools.get(endpoint.id);
    if (!pool) {
      const {connect, timers, intervalMs} = this.options;
      pool = new PeerConnectionPool({
        step: Step.Backend,
        peer: endpoint.id,
        address: endpoint.address,
        connect,
        timers,
        maxSockets: 1,
        progressTimeoutMs: intervalMs,
      });
      this.pools.set(endpoint.id, pool);
    }
    return pool;
  }
}
