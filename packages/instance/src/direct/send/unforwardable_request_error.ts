import {Step, StepError} from '@primrosestage/common';

/** Reports a request of a caller that cannot be forwarded unchanged. */
export class UnforwardableRequestError extends StepError {
  /**
   * Creates the error.
   * @param peer - Address of the caller.
   * @param reason - What cannot be forwarded.
   */
  constructor(peer: string, reason: string) {
    super({step: Step.Ingress, peer}, `request cannot be forwarded: ${reason}`);
  }
}
