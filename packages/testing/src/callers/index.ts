export {Caller, type CallerOptions} from './caller.js';
export {runCallerProcess} from './run_caller_process.js';
export {
  sendAttempt,
  type AttemptOptions,
  type AttemptOutcome,
} from './send_attempt.js';
