import type {MemberInfo} from '@primrosestage/steering';

/** Most addresses in an answer of the directory. */
const MAX_ADDRESSES = 64;

/** Says where a caller stands. */
export interface CallerLocation {
  zone: string;
  region: string;
}

/**
 * Chooses the instances that a caller should use: those of its region, so that losing one
 * leaves another; those of all regions where its own has none.
 * @param serving - Instances that serve.
 * @param location - Where the caller stands.
 * @returns Their addresses.
 */
export function chooseInstances(
  serving: readonly MemberInfo[],
  location: CallerLocation,
): string[] {
  const inRegion = serving.filter(({region}) => region === location.region);
  return (inRegion.length > 0 ? inRegion : serving)
    .slice(0, MAX_ADDRESSES)
    .map(({callerAddress}) => callerAddress);
}
