import {
  getCandidateOrders,
  LIST_LAG_MS,
  type MembershipConfig,
} from '@primrosestage/steering';
import type {MembershipTaskOptions} from './membership_task_options.js';

/** Suspicion timeout, after which a suspected member is removed, in milliseconds. */
const SUSPICION_MS = 3_000;

/**
 * Creates the configuration of the membership reducer.
 * @param options - Options of the membership task.
 * @returns The configuration.
 */
export function createMembershipConfig(
  options: MembershipTaskOptions,
): MembershipConfig {
  const {topology, self, hash, timing} = options;
  const members = topology.instances;
  const endpoints = topology.endpoints.filter(e => e.region === self.region);
  const regionMembers = topology.getInstancesOfRegion(self.region);
  const digest = hash(
    JSON.stringify([
      regionMembers.map(({id, zone}) => [id, zone]).sort(),
      endpoints.map(({id, zone, slots}) => [id, zone, slots]).sort(),
    ]),
  ).toString(16);
  return {
    self,
    members,
    endpoints: new Map(endpoints.map(e => [e.id, e])),
    ownership: {
      selfId: self.id,
      incarnation: options.incarnation,
      digest,
      peers: regionMembers.map(({id}) => id).filter(id => id !== self.id),
      isInSettings: members.some(({id}) => id === self.id),
      timing: {
        fenceAfterMs: timing.fenceAfterMs,
        takeoverAfterMs: timing.takeoverAfterMs,
        joinAfterMs: timing.joinAfterMs,
        maxRequestMs: timing.maxRequestMs,
        listLagMs: options.listLagMs ?? LIST_LAG_MS,
      },
    },
    heartbeatMs: timing.heartbeatMs,
    suspicionMs: options.suspicionMs ?? SUSPICION_MS,
    getOrders: additions =>
      getCandidateOrders({
        endpoints: topology.endpoints,
        members,
        additions,
        hash,
        region: self.region,
      }),
    getInFlight: () =>
      endpoints
        .map(e => [e.id, options.getInFlight?.(e) ?? 0] as const)
        .filter(([, inFlight]) => inFlight > 0),
    random: options.random ?? Math.random,
  };
}
