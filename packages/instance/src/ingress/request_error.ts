import {Step, StepError} from '@primrosestage/common';

/** Thrown for an invalid request, which was not run. */
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
