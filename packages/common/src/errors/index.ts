export {getErrorMessage} from './get_error_message.js';
export {Step} from './step.js';
export {StepError, type StepErrorOptions} from './step_error.js';
