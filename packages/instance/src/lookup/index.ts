export {LookupTask, type LookupTaskOptions} from './lookup_task.js';
