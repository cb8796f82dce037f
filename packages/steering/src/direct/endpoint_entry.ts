/** Whether an endpoint accepts new requests. */
export enum EndpointState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Registration of an endpoint. */
export interface EndpointEntry {
  id: string;
  service: string;
  /** `host:port`. */
  address: string;
  zone: string;
  slots: number;
  state: EndpointState;
  /** Remaining cold start time when the entry was written, in milliseconds. */
  coldLeftMs: number;
  /** Start time of the process in Unix milliseconds; distinguishes restarts under one id. */
  bornAt: number;
}

/** Change of one registered endpoint. */
export interface EndpointChange {
  id: string;
  /** Revision of the change; increases across all endpoints. */
  revision: number;
  /** The entry; undefined if it was removed or cannot be parsed. */
  entry?: EndpointEntry;
  /** Whether the registration was removed, rather than unparsable. */
  isRemoved: boolean;
  /**
   * Whether the removal came during or just after a registry outage, so that a live endpoint may
   * have been unable to renew its registration.
   */
  isLapse?: boolean;
  /** In a lapse that another instance has read: rest of the grace period, in milliseconds. */
  lapseMs?: number;
  /**
   * Whether the change comes from a listing, which may show an older copy of the registry, rather
   * than from a write that was observed.
   */
  isListed?: boolean;
}
