import {
  getDelayMs,
  getSimEndpoints,
  INSTANCE_DELAY_MS,
  SimOutcome,
  type SimPolicy,
  type SimRequest,
  type SimWorld,
} from './sim_world.js';
import type {SimEndpoint} from './sim_endpoint.js';

/** Chooses one of the endpoints that an instance may use. */
export type EndpointChooser = (
  endpoints: readonly SimEndpoint[],
  request: SimRequest,
  getInFlight: (endpoint: SimEndpoint) => number,
) => SimEndpoint | undefined;

/** Configures a policy that chooses endpoints directly. */
export interface EndpointPolicyOptions {
  name: string;
  world: SimWorld;
  /** One-way latency between zones of a region, in milliseconds. */
  interZoneMs: number;
  choose: EndpointChooser;
  /** Whether it uses endpoints of all regions and detects the loss of a zone immediately. */
  isGlobal?: boolean;
}

/** Sends requests from the ingress instance directly to an endpoint, without admission control. */
export class EndpointPolicy implements SimPolicy {
  readonly name: string;
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly options: EndpointPolicyOptions) {
    this.name = options.name;
  }

  send(request: SimRequest): void {
    this.attempt(request, 1);
  }

  private attempt(request: SimRequest, attemptNumber: number): void {
    const {world, interZoneMs, choose} = this.options;
    const {clock, topology} = world;
    const {ingress} = request;
    const getKey = ({info}: SimEndpoint) => `${ingress.id}/${info.id}`;
    const endpoint = choose(
      this.getUsableEndpoints(request),
      request,
      candidate => this.inFlight.get(getKey(candidate)) ?? 0,
    );
    if (!endpoint) return request.finish(SimOutcome.Refused);
    const delayMs = getDelayMs(topology, interZoneMs, ingress, endpoint.info);
    const key = getKey(endpoint);
    this.inFlight.set(key, (this.inFlight.get(key) ?? 0) + 1);
    const finishAttempt = (notify: () => void) =>
      clock.at(clock.now() + delayMs, () => {
        this.inFlight.set(key, (this.inFlight.get(key) ?? 1) - 1);
        notify();
      });
    clock.at(clock.now() + INSTANCE_DELAY_MS + delayMs, () => {
      if (world.isDown(endpoint.info.zone)) {
        // The connection is refused; one more attempt is made, as common proxies do.
        finishAttempt(() => {
          if (attemptNumber < 2) this.attempt(request, attemptNumber + 1);
          else request.finish(SimOutcome.Failed);
        });
        return;
      }
      endpoint.run(request.serviceMs, () => {
        if (world.isDown(endpoint.info.zone)) {
          finishAttempt(() => request.finish(SimOutcome.Failed));
        } else {
          finishAttempt(() =>
            request.finish(SimOutcome.Answered, endpoint.info.region),
          );
        }
      });
    });
  }

  private getUsableEndpoints({
    service,
    region,
  }: SimRequest): readonly SimEndpoint[] {
    const {world, isGlobal} = this.options;
    const drained = new Set(world.getDrains().map(({target}) => target));
    const usable = getSimEndpoints(world, service).filter(
      ({info}) => !drained.has(info.region) && !world.isKnownDown(info.zone),
    );
    if (isGlobal) return usable.filter(({info}) => !world.isDown(info.zone));
    const inRegion = usable.filter(({info}) => info.region === region);
    return inRegion.length > 0 ? inRegion : usable;
  }
}
