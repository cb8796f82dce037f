import {chooseListedInstances, type MemberInfo} from '@primrosestage/steering';

/** Most addresses in a directory response. */
const MAX_ADDRESSES = 64;

/** Zone and region of a caller. */
export interface CallerLocation {
  zone: string;
  region: string;
}

/**
 * Chooses the instances that a caller should use: several of its region, so that the caller can
 * fail over to another one, or those of all regions if its own has none.
 * @param serving - Instances that accept requests.
 * @param location - Zone and region of the caller.
 * @returns Caller addresses of the instances.
 */
export function chooseInstances(
  serving: readonly MemberInfo[],
  location: CallerLocation,
): string[] {
  const inRegion = serving.filter(({region}) => region === location.region);
  return chooseListedInstances(inRegion.length > 0 ? inRegion : serving)
    .slice(0, MAX_ADDRESSES)
    .map(({callerAddress}) => callerAddress);
}
