import {Step, StepError} from '@primrosestage/common';
import type {RegistryFault} from './registry_store.js';

/** Reports why a call to the registry failed. */
export class RegistryError extends StepError {
  /**
   * Creates the error.
   * @param fault - Why the call failed.
   * @param peer - Address of the registry.
   * @param message - The call and how it failed.
   * @param cause - The error that caused this one.
   */
  constructor(
    readonly fault: RegistryFault,
    peer: string,
    message: string,
    cause?: unknown,
  ) {
    super({step: Step.Store, peer, cause, info: {fault}}, message);
  }
}
