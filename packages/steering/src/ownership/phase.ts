/** Phase of an instance in endpoint ownership. */
export enum Phase {
  /** Starting; its limits are 0 until all peers acknowledge it or `joinAfterMs` has passed. */
  Joining = 'joining',
  /** Admits requests as far as the candidate orders and the states of its peers allow. */
  Active = 'active',
  /** Stopping; its limits are 0 until it exits. */
  Released = 'released',
}
