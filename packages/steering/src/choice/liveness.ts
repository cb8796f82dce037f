/** Says what an instance believes of another one. */
export enum Liveness {
  Live = 'live',
  /** It did not answer heartbeats, directly or through others. */
  Suspected = 'suspected',
  /** It announced that it stops; it still finishes requests. */
  Leaving = 'leaving',
  Gone = 'gone',
}
