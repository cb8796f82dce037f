import {Step, StepError} from '@primrosestage/common';
import type {ExitCode} from './exit_code.js';

/** Ends a command with a message and an exit code. */
export class CommandError extends StepError {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    peer = 'primrosectl',
  ) {
    super({step: Step.Admin, peer}, message);
  }
}
