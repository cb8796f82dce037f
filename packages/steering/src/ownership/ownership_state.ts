import type {Contact} from './contact.js';
import type {OwnershipTiming} from './ownership_timing.js';
import {Phase} from './phase.js';

/** Holds what does not change in the life of a process. */
export interface OwnershipConfig {
  selfId: string;
  incarnation: number;
  digest: string;
  /** Ids of the other instances of the region in the settings. */
  peers: readonly string[];
  /** Whether the settings, which all instances share, name this instance. */
  isInSettings: boolean;
  timing: OwnershipTiming;
}

/** Holds the last list of the platform. */
export interface PlatformList {
  /** Time at which it was asked for, in milliseconds. */
  requestedAt: number;
  ids: ReadonlySet<string>;
}

/** Holds what the limits of one instance depend on besides the time. */
export interface OwnershipState {
  readonly phase: Phase;
  readonly startedAt: number;
  /** Ids of the other instances of the region, of the settings and of those named since. */
  readonly peers: ReadonlySet<string>;
  readonly contacts: ReadonlyMap<string, Contact>;
  readonly platformList?: PlatformList;
  /** Time at which the last list that named an instance arrived, by id. */
  readonly lastListedAt: ReadonlyMap<string, number>;
  /** Time at which the first of the last lists without a peer arrived, by id. */
  readonly absentSince: ReadonlyMap<string, number>;
  /** Whether a peer was heard whose candidate orders come from other settings. */
  readonly hasDigestMismatch: boolean;
  /** Time until which requests of an earlier process of this id may run. */
  readonly predecessorRequestsUntil: number;
}

/**
 * Creates the state of an instance that starts.
 * @param config - The instance and its peers.
 * @param now - Monotonic time in milliseconds.
 * @returns The state; an instance without peers is active at once.
 */
export function createOwnershipState(
  config: OwnershipConfig,
  now: number,
): OwnershipState {
  return {
    phase: config.peers.length === 0 ? Phase.Active : Phase.Joining,
    startedAt: now,
    peers: new Set(config.peers),
    contacts: new Map(),
    lastListedAt: new Map(),
    absentSince: new Map(),
    hasDigestMismatch: false,
    predecessorRequestsUntil: -Infinity,
  };
}
