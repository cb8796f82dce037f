/** Says whether an instance takes part in ownership. */
export enum Phase {
  /** Started; its limits are 0 until the other candidates know of it. */
  Joining = 'joining',
  /** Acts where the candidate order and the contact states allow it. */
  Active = 'active',
  /** Stopping; its limits are 0 until it ends. */
  Released = 'released',
}
