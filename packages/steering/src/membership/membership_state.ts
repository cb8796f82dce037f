import {
  createOwnershipState,
  type OwnershipConfig,
  type OwnershipState,
  Phase,
} from '../ownership/index.js';
import type {Endpoint, InstanceInfo} from '../topology/index.js';
import {type Member, MemberStatus, type MemberUpdate} from './member.js';
import type {ClockStamp} from './membership_message.js';

/** Configuration that is fixed for the lifetime of a process, and the reducer's external inputs. */
export interface MembershipConfig {
  self: InstanceInfo;
  /** Instances listed in the settings. */
  members: readonly InstanceInfo[];
  /** Endpoints of this region by id. */
  endpoints: ReadonlyMap<string, Endpoint>;
  ownership: OwnershipConfig;
  heartbeatMs: number;
  suspicionMs: number;
  /** Computes the candidate orders by endpoint id, given the instances not in the settings. */
  getOrders(
    additions: readonly InstanceInfo[],
  ): ReadonlyMap<string, readonly string[]>;
  /** Gets the requests in flight from this instance by endpoint id. */
  getInFlight(): Iterable<readonly [string, number]>;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random(): number;
}

/** Heartbeat that has not been acknowledged. */
export interface PendingPing {
  readonly targetId: string;
  readonly sentAt: number;
  readonly isIndirect: boolean;
}

/** Update that remains to be sent to other instances. */
export interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly sendsLeft: number;
}

/** Membership state of one instance. */
export interface MembershipState {
  readonly ownership: OwnershipState;
  /** The other instances by id. */
  readonly members: ReadonlyMap<string, Member>;
  readonly orders: ReadonlyMap<string, readonly string[]>;
  readonly refutation: number;
  readonly isLeaving: boolean;
  readonly updates: ReadonlyMap<string, QueuedUpdate>;
  readonly pendingPings: ReadonlyMap<number, PendingPing>;
  /** The newest clock stamp received from each instance. */
  readonly clockStamps: ReadonlyMap<string, ClockStamp>;
  /** Members of the own zone that the current round has yet to ping. */
  readonly zoneMembersToPing: readonly string[];
  /** Other zones that the current round has yet to ping. */
  readonly zonesToPing: readonly string[];
  readonly pingCount: number;
  readonly heartbeatCount: number;
  readonly nextHeartbeatAt: number;
  readonly lastTickAt: number;
}

/**
 * Creates the state of a starting instance.
 * @param config - The instance, the settings and the timing.
 * @param now - Monotonic time in milliseconds.
 * @returns The state, in which every instance of the settings is considered alive until a
 *   heartbeat to it remains unacknowledged.
 */
export function createMembershipState(
  config: MembershipConfig,
  now: number,
): MembershipState {
  const others = config.members.filter(({id}) => id !== config.self.id);
  return {
    ownership: createOwnershipState(config.ownership, now),
    members: new Map(
      others.map(info => [info.id, createMember(info, now)] as const),
    ),
    orders: config.getOrders(getAdditions(config, [])),
    refutation: 0,
    isLeaving: false,
    updates: new Map(),
    pendingPings: new Map(),
    clockStamps: new Map(),
    zoneMembersToPing: [],
    zonesToPing: [],
    pingCount: 0,
    heartbeatCount: 0,
    nextHeartbeatAt: now,
    lastTickAt: now,
  };
}

/**
 * Creates a member about which no message or update has arrived.
 * @param info - Its addresses and zone.
 * @param now - Monotonic time in milliseconds.
 * @returns The member.
 */
export function createMember(info: InstanceInfo, now: number): Member {
  return {
    info,
    incarnation: 0,
    refutation: 0,
    status: MemberStatus.Alive,
    phase: Phase.Joining,
    isLeaving: false,
    statusChangedAt: now,
    seenAt: now,
  };
}

/**
 * Gets the instances of the own region that the settings do not list.
 * @param config - The instance and the settings.
 * @param members - The known members.
 * @returns The instances, including this one if the settings do not list it.
 */
export function getAdditions(
  config: MembershipConfig,
  members: Iterable<Member>,
): InstanceInfo[] {
  const configuredIds = new Set(config.members.map(({id}) => id));
  return [config.self, ...[...members].map(({info}) => info)].filter(
    ({id, region}) => region === config.self.region && !configuredIds.has(id),
  );
}
