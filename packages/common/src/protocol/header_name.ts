/** Names the HTTP headers exchanged with callers, backend servers and other instances. */
export enum HeaderName {
  Attempt = 'primrose-attempt',
  DeadlineMs = 'primrose-deadline-ms',
  Draining = 'primrose-draining',
  FreeSlots = 'primrose-free',
  Hops = 'primrose-hops',
  IdempotencyKey = 'idempotency-key',
  OriginalStatus = 'primrose-original-status',
  Outcome = 'primrose-outcome',
  Peer = 'primrose-peer',
  /** Between instances: whether the receiver is called as an owner or as the home of a key. */
  Role = 'primrose-role',
  RequestId = 'primrose-request-id',
  SourceRegion = 'primrose-source-region',
  SourceZone = 'primrose-source-zone',
  Step = 'primrose-step',
  TraceParent = 'traceparent',
}
