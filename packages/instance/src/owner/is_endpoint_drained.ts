import {type Drain, DrainKind} from '@primrosestage/control';
import type {Endpoint} from '@primrosestage/steering';

/**
 * Says whether a drain takes an endpoint out of service.
 * @param endpoint - The endpoint.
 * @param drains - Drains in force.
 */
export function isEndpointDrained(
  endpoint: Endpoint,
  drains: readonly Drain[],
): boolean {
  return drains.some(({kind, target}) => {
    switch (kind) {
      case DrainKind.Endpoint:
        return target === endpoint.id;
      case DrainKind.Zone:
        return target === endpoint.zone;
      case DrainKind.Region:
        return target === endpoint.region;
      default:
        return false;
    }
  });
}
