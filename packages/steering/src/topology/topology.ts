import {Step, StepError} from '@primrosestage/common';
import type {Endpoint} from './endpoint.js';
import type {InstanceInfo} from './instance_info.js';
import type {Link} from './link.js';
import type {Service} from './service.js';
import type {Zone} from './zone.js';

/** Lists the components of a system. */
export interface TopologyOptions {
  regions: string[];
  zones: Zone[];
  links: Link[];
  services: Service[];
  endpoints: Endpoint[];
  instances: InstanceInfo[];
}

/** Looks up the configured components of a system. */
export class Topology {
  readonly regions: readonly string[];
  readonly zones: readonly Zone[];
  readonly links: readonly Link[];
  readonly services: readonly Service[];
  readonly endpoints: readonly Endpoint[];
  readonly instances: readonly InstanceInfo[];
  private readonly endpointsByService = new Map<string, Endpoint[]>();
  private readonly endpointsById = new Map<string, Endpoint>();
  private readonly instancesById = new Map<string, InstanceInfo>();

  constructor(options: TopologyOptions) {
    this.regions = options.regions;
    this.zones = options.zones;
    this.links = options.links;
    this.services = options.services;
    this.endpoints = options.endpoints;
    this.instances = options.instances;
    for (const service of options.services) {
      this.endpointsByService.set(
        getServiceKey(service.team, service.name),
        [],
      );
    }
    for (const endpoint of options.endpoints) {
      this.endpointsById.set(endpoint.id, endpoint);
      const key = getServiceKey(endpoint.team, endpoint.service);
      this.endpointsByService.get(key)?.push(endpoint);
    }
    for (const instance of options.instances) {
      this.instancesById.set(instance.id, instance);
    }
  }

  /** Gets a service, or undefined if the team has none of that name. */
  getService(team: string, name: string): Service | undefined {
    return this.services.find(s => s.team === team && s.name === name);
  }

  /**
   * Gets a service.
   * @throws StepError when the team has no service of that name.
   */
  getServiceOrThrow(team: string, name: string): Service {
    const service = this.getService(team, name);
    if (service) return service;
    throw new StepError(
      {step: Step.Lookup, peer: team},
      `team ${team} has no service ${name}`,
    );
  }

  /** Gets the endpoints of a service; empty if it is unknown. */
  getEndpoints(team: string, service: string): readonly Endpoint[] {
    return this.endpointsByService.get(getServiceKey(team, service)) ?? [];
  }

  /** Gets an endpoint by id. */
  getEndpoint(id: string): Endpoint | undefined {
    return this.endpointsById.get(id);
  }

  /** Gets an instance by id. */
  getInstance(id: string): InstanceInfo | undefined {
    return this.instancesById.get(id);
  }

  /**
   * Gets an instance by id.
   * @throws StepError when no instance has that id.
   */
  getInstanceOrThrow(id: string): InstanceInfo {
    const instance = this.getInstance(id);
    if (instance) return instance;
    throw new StepError(
      {step: Step.Settings, peer: id},
      `no instance with id ${id} in the settings`,
    );
  }

  /** Gets the instances of a region. */
  getInstancesOfRegion(region: string): InstanceInfo[] {
    return this.instances.filter(instance => instance.region === region);
  }

  /** Gets the link between two regions, or undefined if there is none. */
  getLink(from: string, to: string): Link | undefined {
    return this.links.find(
      ({regions: [a, b]}) =>
        (a === from && b === to) || (a === to && b === from),
    );
  }
}

function getServiceKey(team: string, service: string): string {
  return `${team}/${service}`;
}
