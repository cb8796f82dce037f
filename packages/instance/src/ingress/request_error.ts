import {Step, StepError} from '@primrosestage/common';

/** Reports a request that is not valid; nothing of it was run. */
export class RequestError extends StepError {
  constructor(
    peer: string,
    /** HTTP status of the refusal. */
    readonly status: number,
    message: string,
  ) {
    super({step: Step.Ingress, peer}, message);
  }
}
