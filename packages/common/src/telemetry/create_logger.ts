import {createLogger as createWinstonLogger, format, transports} from 'winston';
import type {Logger as WinstonLogger} from 'winston';

export type Logger = WinstonLogger;

/** Configures the structured log. */
export interface LoggerOptions {
  /** Lowest level that is written: error, warn, info or debug. */
  level: string;
  /** Fields that every line carries, such as the instance id. */
  fields: Record<string, string>;
}

/**
 * Creates a logger that writes JSON lines to standard error.
 * @param options - Level and common fields.
 * @returns The logger.
 */
export function createLogger(options: LoggerOptions): Logger {
  return createWinstonLogger({
    level: options.level,
    defaultMeta: options.fields,
    format: format.combine(format.timestamp(), format.json()),
    transports: [
      new transports.Console({
        stderrLevels: ['error', 'warn', 'info', 'debug'],
      }),
    ],
  });
}
