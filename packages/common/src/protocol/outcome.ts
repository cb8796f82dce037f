/** Says what became of a request. */
export enum Outcome {
  /** A backend server answered and the whole answer was passed on. */
  Answered = 'answered',
  /** No backend server ran the request. */
  NotRun = 'not-run',
  /** A backend server may have run the request, its answer is not known. */
  Unknown = 'unknown',
}
