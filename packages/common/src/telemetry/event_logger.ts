/** Writes structured log lines; a winston logger satisfies this interface. */
export interface EventLogger {
  /**
   * Logs an event of normal operation.
   * @param message - What happened.
   * @param fields - Inputs and outcome of the event.
   */
  info(message: string, fields?: object): void;

  /**
   * Logs a condition that impairs the instance but not its requests.
   * @param message - What happened.
   * @param fields - Inputs and outcome of the event.
   */
  warn(message: string, fields?: object): void;

  /**
   * Logs an error.
   * @param message - What happened.
   * @param fields - Inputs and outcome of the event.
   */
  error(message: string, fields?: object): void;
}
