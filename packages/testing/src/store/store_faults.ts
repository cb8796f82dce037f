/** Says how the store fails while it is down. */
export enum StoreOutage {
  None = 'none',
  /** Connections are closed. */
  Refuse = 'refuse',
  /** Calls are never answered. */
  Hang = 'hang',
}

/** Holds the faults of the store, which can change at run time. */
export interface StoreFaults {
  outage: StoreOutage;
  /** Time added to each call in milliseconds. */
  addedLatencyMs: number;
  /** Fraction of writes that take effect and whose reply is lost. */
  lostReplyFraction: number;
  /** Fraction of writes that take effect only after the reply was lost. */
  delayedWriteFraction: number;
  /** Delay of such a write in milliseconds. */
  writeDelayMs: number;
  /** Age of the instance list in milliseconds. */
  listAgeMs: number;
}

/** Describes a store without faults. */
export const NO_STORE_FAULTS: Readonly<StoreFaults> = {
  outage: StoreOutage.None,
  addedLatencyMs: 0,
  lostReplyFraction: 0,
  delayedWriteFraction: 0,
  writeDelayMs: 0,
  listAgeMs: 0,
};
