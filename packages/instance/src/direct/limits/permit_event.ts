/** What happened to a permit, as metrics and logs count it. */
export enum PermitEvent {
  Granted = 'granted',
  Denied = 'denied',
  TimedOut = 'timed-out',
  /** Granted to another instance. */
  Issued = 'issued',
}
