export {runShutdown, type RunShutdownOptions} from './run_shutdown.js';
export type {ShutdownSteps} from './shutdown_steps.js';
