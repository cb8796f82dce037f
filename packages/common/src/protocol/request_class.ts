/** Says whether a request may be sent a second time after it may have run. */
export enum RequestClass {
  Idempotent = 'idempotent',
  NonIdempotent = 'non-idempotent',
}
