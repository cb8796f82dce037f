export {OwnerTask, type OwnerTaskOptions} from './owner_task.js';
