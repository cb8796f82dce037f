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
  slownessMs: number;
  /** Fraction of writes that take effect and whose reply is lost. */
  loseReplies: number;
  /** Fraction of writes that take effect only after the reply was lost. */
  delayWrites: number;
  /** Delay of such a write in milliseconds. */
  delayMs: number;
  /** Age of the instance list in milliseconds. */
  listLagMs: number;
}

/** Describes a store without faults. */
export const NO_STORE_FAULTS: Readonly<StoreFaults> = {
  outage: StoreOutage.None,
  slownessMs: 0,
  loseReplies: 0,
  delayWrites: 0,
  delayMs: 0,
  listLagMs: 0,
};
