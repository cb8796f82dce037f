export type {CommandContext, CommandOutput} from './command_context.js';
export {runCheckConfiguration} from './run_check_configuration.js';
export {runDrain} from './run_drain.js';
export {runPresets} from './run_presets.js';
export {runStatus} from './run_status.js';
