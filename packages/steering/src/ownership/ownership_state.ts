import type {Contact} from './contact.js';
import type {OwnershipTiming} from './ownership_timing.js';
import {Phase} from './phase.js';

/** Configuration that is fixed for the lifetime of a process. */
export interface OwnershipConfig {
  selfId: string;
  incarnation: number;
  digest: string;
  /** Ids of the other instances of the region that the settings list. */
  peers: readonly string[];
  /** Whether the settings, which all instances share, list this instance. */
  isInSettings: boolean;
  timing: OwnershipTiming;
}

/** Last instance list read from the platform. */
export interface PlatformList {
  /** Time at which it was requested, in milliseconds. */
  requestedAt: number;
  ids: ReadonlySet<string>;
}

/** State from which, together with the time, the limits of one instance are computed. */
export interface OwnershipState {
  readonly phase: Phase;
  readonly startedAt: number;
  /** Ids of the other instances of the region, from the settings and learned since. */
  readonly peers: ReadonlySet<string>;
  readonly contacts: ReadonlyMap<string, Contact>;
  readonly platformList?: PlatformList;
  /** Time at which the last list that contains an instance arrived, by id. */
  readonly lastListedAt: ReadonlyMap<string, number>;
  /** Arrival time of the first list in the current run of lists without a peer, by id. */
  readonly absentSince: ReadonlyMap<string, number>;
  /** Whether any peer reported another digest, so that its candidate orders may differ. */
  readonly hasDigestMismatch: boolean;
  /** Time until which requests of an earlier process of this id may still run. */
  readonly predecessorRequestsUntil: number;
}

/**
 * Creates the state of a starting instance.
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
