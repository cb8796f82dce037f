import verror from 'verror';
import type {Step} from './step.js';

/** Describes where an error arose. */
export interface StepErrorOptions {
  /** The step at which the error arose. */
  step: Step;
  /** The peer involved, as an instance id, endpoint id or `host:port`. */
  peer: string;
  /** The error that caused this one. */
  cause?: unknown;
  /** Further fields for the structured log. */
  info?: Record<string, unknown>;
}

/** Carries the step and the peer at which an error arose. */
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
