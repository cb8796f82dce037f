/** Describes the state of another instance as this instance observes it. */
export enum Liveness {
  Live = 'live',
  /** It answered no heartbeat, neither directly nor through other instances. */
  Suspected = 'suspected',
  /** It announced its shutdown and still finishes requests. */
  Leaving = 'leaving',
  Gone = 'gone',
}
