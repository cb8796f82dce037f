import {
  getCandidateOrders,
  LIST_LAG_MS,
  type MembershipConfig,
} from '@primrosestage/steering';
import type {MembershipTaskOptions} from './membership_task_options.js';

/** Time for which a member is suspected before it is removed, in milliseconds. */
const SUSPICION_MS = 3_000;

/**
 * Creates the configuration of the membership reducer.
 * @param options - Topology, times and functions of the task.
 * @returns The configuration.
 */
export function createMembershipConfig(
  options: MembershipTaskOptions,
): MembershipConfig {
  const {topology, self, hash, timing} = options;
  const members = topology.instances;
  const endpoints = topology.endpoints.filter(e => e.region === self.region);
  const ofRegion = topology.getInstancesOfRegion(self.region);
  const digest = hash(
    JSON.stringify([
      ofRegion.map(({id, zone}) => [id, zone]).sort(),
      endpoints.map(({id, zone, slots}) => [id, zone, slots]).sort(),
    ]),
  ).toString(16);
  return {
    self,
    members,
    endpoints,
    ownership: {
      selfId: self.id,
      incarnation: options.incarnation,
      digest,
      peers: ofRegion.map(({id}) => id).filter(id => id !== self.id),
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
      }),
    getInFlight: options.getInFlight ?? (() => []),
    random: options.random ?? Math.random,
  };
}
