/** Names the exit codes of `primrosectl`. */
export enum ExitCode {
  Success = 0,
  /** The request was refused, or another change came first. */
  Refused = 1,
  /** Arguments are not valid. */
  Usage = 2,
  /** No instance answered, or the outcome of a change is unknown. */
  Unreachable = 3,
}
