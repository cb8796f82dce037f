import verror from 'verror';
import type {Step} from './step.js';

/** Describes where an error occurred. */
export interface StepErrorOptions {
  /** The step at which the error occurred. */
  step: Step;
  /** The peer involved, as an instance id, endpoint id or `host:port`. */
  peer: string;
  /** The error that caused this one. */
  cause?: unknown;
  /** Further fields for the structured log. */
  info?: Record<string, unknown>;
}

/** Reports an error with the step and the peer at which it occurred. */
export class StepError extends verror.VError {
  readonly step: Step;
  readonly peer: string;

  /**
   * Creates an error that names its step and peer.
   * @param options - Step, peer, cause and further log fields.
   * @param message - What failed, with values and units.
   */
  constructor(options: StepErrorOptions, message: string) {
    super(
      {
        name: 'StepError',
        cause: options.cause instanceof Error ? options.cause : undefined,
        info: {step: options.step, peer: options.peer, ...options.info},
      },
      '%s',
      message,
    );
    this.step = options.step;
    this.peer = options.peer;
  }
}
