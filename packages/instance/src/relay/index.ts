export {createLinkPacer} from './create_link_pacer.js';
export {Dispatcher, type DispatcherOptions} from './dispatcher.js';
export {InstanceRole} from './instance_role.js';
export type {LinkPacer, LinkTransfer} from './link_pacer.js';
export {NO_RECORDS_STATUS} from './read_refusal.js';
export {RelayTask, type RelayTaskOptions} from './relay_task.js';
