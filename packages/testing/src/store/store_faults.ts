/** How the store fails while it is down. */
export enum StoreOutage {
  None = 'none',
  /** Connections are closed. */
  Refuse = 'refuse',
  /** Calls are never answered. */
  Hang = 'hang',
}

/** Faults of the store, which can be changed at run time. */
export interface StoreFaults {
  outage: StoreOutage;
  /** Latency added to each call, in milliseconds. */
  addedLatencyMs: number;
  /** Fraction of writes that are applied but whose reply is lost. */
  lostReplyFraction: number;
  /** Fraction of writes that are applied only after the connection was closed without a reply. */
  delayedWriteFraction: number;
  /** Delay of such a write, in milliseconds. */
  writeDelayMs: number;
  /** Age of the returned instance list, in milliseconds. */
  listAgeMs: number;
}

/** Settings of a store without faults. */
export const NO_STORE_FAULTS: Readonly<StoreFaults> = {
  outage: StoreOutage.None,
  addedLatencyMs: 0,
  lostReplyFraction: 0,
  delayedWriteFraction: 0,
  writeDelayMs: 0,
  listAgeMs: 0,
};
