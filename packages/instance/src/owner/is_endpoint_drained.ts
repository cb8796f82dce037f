import {type Drain, DrainKind} from '@primrosestage/control';
import type {Endpoint} from '@primrosestage/steering';

/**
 * Returns whether a drain takes an endpoint out of service immediately. The drain of a region does
 * not: its traffic is shifted to other regions within the shift cap and is served until then.
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
      default:
        return false;
    }
  });
}
