/** Names why admission refused a request; the value is its metric label. */
export enum RefusalReason {
  /** This instance owns no endpoint that takes requests. */
  NoEndpoint = 'no-endpoint',
  QueueFull = 'queue-full',
  QueueTimeout = 'queue-timeout',
  /** The time left is shorter than the median service time. */
  DeadlineTooShort = 'deadline-too-short',
}
