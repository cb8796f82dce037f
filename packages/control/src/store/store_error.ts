import {Step, StepError} from '@primrosestage/common';

/** Says what is known about a failed store call. */
export enum StoreFailure {
  /** No connection was made, so the store has not seen the call. */
  NotSent = 'not-sent',
  /** The store answered with a client error (4xx), so the call had no effect. */
  Refused = 'refused',
  /**
   * The call was sent, but no response or a server error came back; a write may take effect, now or
   * later.
   */
  ReplyLost = 'reply-lost',
}

/** Describes a failed store call. */
export interface StoreErrorOptions {
  failure: StoreFailure;
  /** Address of the store. */
  peer: string;
  cause?: unknown;
}

/** Reports a failed store call and whether a write may have taken effect. */
export class StoreError extends StepError {
  readonly failure: StoreFailure;

  constructor(options: StoreErrorOptions, message: string) {
    super(
      {
        step: Step.Store,
        peer: options.peer,
        cause: options.cause,
        info: {failure: options.failure},
      },
      message,
    );
    this.failure = options.failure;
  }
}
