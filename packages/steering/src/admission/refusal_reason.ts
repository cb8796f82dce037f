/** Identifies why admission refused a request; the value is its metric label. */
export enum RefusalReason {
  /** This instance owns no endpoint that accepts requests. */
  NoEndpoint = 'no-endpoint',
  QueueFull = 'queue-full',
  QueueTimeout = 'queue-timeout',
  /** The remaining time is shorter than the median service time. */
  DeadlineTooShort = 'deadline-too-short',
}
