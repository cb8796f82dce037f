/** Says whether a request may be retried after a backend server may have run it. */
export enum RequestClass {
  Idempotent = 'idempotent',
  NonIdempotent = 'non-idempotent',
}
