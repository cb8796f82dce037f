/** Says whether an endpoint takes new work. */
export enum EndpointState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Describes an endpoint as it was registered. */
export interface EndpointEntry {
  id: string;
  service: string;
  /** `host:port`. */
  address: string;
  zone: string;
  slots: number;
  state: EndpointState;
  /** Remaining time of the cold start when the entry was written, in milliseconds. */
  coldLeftMs: number;
  /** Start of the process in Unix milliseconds; tells two lifetimes under one id apart. */
  bornAt: number;
}

/** Reports a change of one registered endpoint. */
export interface EndpointChange {
  id: string;
  /** Revision of the change; rises over all endpoints. */
  revision: number;
  /** The entry, or undefined where it was removed or cannot be read. */
  entry?: EndpointEntry;
  /** Whether the registration was removed, as opposed to unreadable. */
  isRemoved: boolean;
  /** Whether the removal came around an outage of the registry, so that it may be a lapse. */
  isLapse?: boolean;
}
