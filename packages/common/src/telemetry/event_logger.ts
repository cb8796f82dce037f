/** Writes structured log lines; a winston logger is one. */
export interface EventLogger {
  /**
   * Writes a line on what happened as planned.
   * @param message - What happened.
   * @param fields - Its inputs and outcome.
   */
  info(message: string, fields?: object): void;

  /**
   * Writes a line on what hinders the instance without harm to requests.
   * @param message - What happened.
   * @param fields - Its inputs and outcome.
   */
  warn(message: string, fields?: object): void;

  /**
   * Writes a line on a fault.
   * @param message - What happened.
   * @param fields - Its inputs and outcome.
   */
  error(message: string, fields?: object): void;
}
