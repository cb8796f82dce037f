import {Topology, type Endpoint} from '@primrosestage/steering';
import type {SystemSettings} from './settings_schema.js';

/**
 * Builds the topology that the settings describe.
 * @param system - Checked settings.
 * @returns The topology; endpoint ids are `service-zone-number`.
 */
export function buildTopology(system: SystemSettings): Topology {
  const regionOfZone = new Map(system.zones.map(z => [z.name, z.region]));
  const getRegion = (zone: string) => regionOfZone.get(zone) ?? '';
  const endpoints: Endpoint[] = [];
  for (const team of system.teams) {
    for (const service of team.services) {
      for (const {zone, addresses} of service.endpoints) {
        addresses.forEach((address, i) =>
          endpoints.push({
            id: `${service.name}-${zone}-${i + 1}`,
            team: team.name,
            service: service.name,
            zone,
            region: getRegion(zone),
            address,
            slots: service.slots,
            maxConnections: service.maxConnections,
          }),
        );
      }
    }
  }
  return new Topology({
    regions: system.regions,
    zones: system.zones,
    links: system.links,
    services: system.teams.flatMap(team =>
      team.services.map(({name, priority}) => ({
        team: team.name,
        name,
        priority,
      })),
    ),
    endpoints,
    instances: system.instances.map(instance => ({
      id: instance.id,
      zone: instance.zone,
      region: getRegion(instance.zone),
      publicAddress: instance.public,
      internalAddress: instance.internal,
      adminAddress: instance.admin,
    })),
  });
}
