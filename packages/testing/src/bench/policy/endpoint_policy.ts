import {
  getDelayMs,
  getSimEndpoints,
  INSTANCE_MS,
  SimEnd,
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
  /** One-way time between zones of a region, in milliseconds. */
  zoneMs: number;
  choose: EndpointChooser;
  /** Whether it sees endpoints of all regions and the loss of a zone at once. */
  isGlobal?: boolean;
}

/** Sends requests from the ingress instance straight to an endpoint, without admission. */
export class EndpointPolicy implements SimPolicy {
  readonly name: string;
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly options: EndpointPolicyOptions) {
    this.name = options.name;
  }

  send(request: SimRequest): void {
    this.attempt(request, 1);
  }

  private attempt(request: SimRequest, number: number): void {
    const {world, zoneMs, choose} = this.options;
    const {clock, topology} = world;
    const {ingress} = request;
    const getKey = ({info}: SimEndpoint) => `${ingress.id}/${info.id}`;
    const endpoint = choose(
      this.getUsable(request),
      request,
      candidate => this.inFlight.get(getKey(candidate)) ?? 0,
    );
    if (!endpoint) return request.finish(SimEnd.Refused);
    const delayMs = getDelayMs(topology, zoneMs, ingress, endpoint.info);
    const key = getKey(endpoint);
    this.inFlight.set(key, (this.inFlight.get(key) ?? 0) + 1);
    const end = (report: () => void) =>
      clock.at(clock.now() + delayMs, () => {
        this.inFlight.set(key, (this.inFlight.get(key) ?? 1) - 1);
        report();
      });
    clock.at(clock.now() + INSTANCE_MS + delayMs, () => {
      if (world.isDown(endpoint.info.zone)) {
        // A refused connection; one more attempt is made, as common proxies do.
        end(() => {
          if (number < 2) this.attempt(request, number + 1);
          else request.finish(SimEnd.Failed);
        });
        return;
      }
      endpoint.run(request.serviceMs, () => {
        if (world.isDown(endpoint.info.zone)) {
          end(() => request.finish(SimEnd.Failed));
        } else {
          end(() => request.finish(SimEnd.Answered, endpoint.info.region));
        }
      });
    });
  }

  private getUsable({service, region}: SimRequest): readonly SimEndpoint[] {
    const {world, isGlobal} = this.options;
    const drained = new Set(world.getDrains().map(({target}) => target));
    const usable = getSimEndpoints(world, service).filter(
      ({info}) => !drained.has(info.region) && !world.isKnownDown(info.zone),
    );
    if (isGlobal) return usable.filter(({info}) => !world.isDown(info.zone));
    const near = usable.filter(({info}) => info.region === region);
    return near.length > 0 ? near : usable;
  }
}
