/** Says how a request ended. */
export enum Outcome {
  /** A backend server responded and the complete response was forwarded. */
  Answered = 'answered',
  /** No backend server ran the request. */
  NotRun = 'not-run',
  /** A backend server may have run the request; its response is not known. */
  Unknown = 'unknown',
}
