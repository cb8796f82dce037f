import type {EndpointChange} from '@primrosestage/steering';

/**
 * Takes the time that changes have spent on their way off the grace periods of lapsed endpoints.
 * @param changes - Changes that another instance has stated.
 * @param elapsedMs - Time since then at most, in milliseconds.
 * @returns The changes with what is left of the grace periods.
 */
export function shortenGrace<T extends {endpoints: EndpointChange[]}>(
  changes: T,
  elapsedMs: number,
): T {
  const endpoints = changes.endpoints.map(change =>
    change.lapseMs === undefined
      ? change
      : {...change, lapseMs: Math.max(0, change.lapseMs - elapsedMs)},
  );
  return {...changes, endpoints};
}
