import {
  createOwnershipState,
  type OwnershipConfig,
  type OwnershipState,
  Phase,
} from '../ownership/index.js';
import type {Endpoint, InstanceInfo} from '../topology/index.js';
import {type Member, MemberStatus, type MemberUpdate} from './member.js';
import type {ClockStamp} from './membership_message.js';

/** Holds what does not change in the life of a process, and what the reducer takes from outside. */
export interface MembershipConfig {
  self: InstanceInfo;
  /** Instances of the settings. */
  members: readonly InstanceInfo[];
  /** Endpoints of this region by id. */
  endpoints: ReadonlyMap<string, Endpoint>;
  ownership: OwnershipConfig;
  heartbeatMs: number;
  suspicionMs: number;
  /** Computes the candidate orders by endpoint id for members beyond the settings. */
  getOrders(
    additions: readonly InstanceInfo[],
  ): ReadonlyMap<string, readonly string[]>;
  /** Gets the requests in flight from this instance by endpoint id. */
  getInFlight(): Iterable<readonly [string, number]>;
  /** Gives a number from 0 to 1, 1 excluded. */
  random(): number;
}

/** Holds a heartbeat without an answer. */
export interface PendingPing {
  readonly targetId: string;
  readonly sentAt: number;
  readonly isIndirect: boolean;
}

/** Holds an update that is still passed on. */
export interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly sendsLeft: number;
}

/** Holds the membership of one instance. */
export interface MembershipState {
  readonly ownership: OwnershipState;
  /** The other instances by id. */
  readonly members: ReadonlyMap<string, Member>;
  readonly orders: ReadonlyMap<string, readonly string[]>;
  readonly refutation: number;
  readonly isLeaving: boolean;
  readonly updates: ReadonlyMap<string, QueuedUpdate>;
  readonly pendingPings: ReadonlyMap<number, PendingPing>;
  /** The newest clock stamp of each instance heard. */
  readonly clockStamps: ReadonlyMap<string, ClockStamp>;
  /** Zone members that this round has not pinged yet. */
  readonly zoneMembersToPing: readonly string[];
  /** Other zones that this round has not pinged yet. */
  readonly zonesToPing: readonly string[];
  readonly pingCount: number;
  readonly heartbeatCount: number;
  readonly nextHeartbeatAt: number;
  readonly lastTickAt: number;
}

/**
 * Creates the state of an instance that starts.
 * @param config - The instance, the settings and its times.
 * @param now - Monotonic time in milliseconds.
 * @returns The state, in which every instance of the settings counts as alive until pinged.
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
 * Creates a member that was never heard.
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
 * Gets the instances of the region that the settings do not name.
 * @param config - The instance and the settings.
 * @param members - The known members.
 * @returns The instances, this one included where it is one of them.
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
