export {createLinkPacer} from './create_link_pacer.js';
export {Dispatcher, type DispatcherOptions} from './dispatcher.js';
export {InstanceRole} from './instance_role.js';
export type {LinkPacer, LinkTransfer} from './link_pacer.js';
export {RelayTask, type RelayTaskOptions} from './relay_task.js';
export {RetryLimiter, type RetryLimiterOptions} from './retry_limiter.js';
