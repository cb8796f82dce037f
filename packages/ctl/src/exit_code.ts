/** Names the exit codes of `primrosectl`. */
export enum ExitCode {
  Success = 0,
  /** The request was refused, another change came first, or a check has findings. */
  Refused = 1,
  /** Arguments are not valid, or a file cannot be read. */
  Usage = 2,
  /** No instance answered, or the outcome of a change is unknown. */
  Unreachable = 3,
}
